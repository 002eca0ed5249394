"""Fault runs, and checks of the promises P1 to P8 over their recorded histories."""
