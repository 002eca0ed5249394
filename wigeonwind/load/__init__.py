"""Open-loop load generator for entries, with a record of each request's result."""
