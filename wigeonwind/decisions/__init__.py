"""Decisions without I/O: order, admission, limits, endpoint choice, retries."""
