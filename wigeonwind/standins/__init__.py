"""Small stand-ins for engines and the platform, for tests, demo and benchmarks."""
