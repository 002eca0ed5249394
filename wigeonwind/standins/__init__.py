"""Test doubles of engines and platform services, for tests, demo and benchmarks."""
