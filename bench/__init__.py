"""Benchmarks; run as `python -m bench.NAME` from the root of the work tree."""
