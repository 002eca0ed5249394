"""HTTP routing: callers' requests forwarded byte for byte to endpoints."""
