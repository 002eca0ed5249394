"""Test doubles of engines and the platform, for tests, demo and benchmarks."""
