"""Randomized soak test of the routing program with real processes and faults."""
