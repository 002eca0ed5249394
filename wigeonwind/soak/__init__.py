"""Randomized soak test of the routing program: real processes, injected faults."""
