"""Open-loop load on entries, with a history of what each caller saw."""
