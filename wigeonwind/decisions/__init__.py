"""Decision logic without I/O: queueing, admission, limits, endpoint choice, retries."""
