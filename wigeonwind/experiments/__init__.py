"""Experiments in virtual time over the decision modules."""
