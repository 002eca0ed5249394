"""A randomized soak of the routing program: real processes, faults from outside."""
