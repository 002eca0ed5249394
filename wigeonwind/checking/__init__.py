"""Fault runs with real processes, checkers of P1 to P8, and a model explorer."""
