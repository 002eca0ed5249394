"""Experiments that simulate the decision modules in virtual time."""
