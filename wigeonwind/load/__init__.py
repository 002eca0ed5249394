"""Open-loop load generator for entries, which records the result of each request."""
