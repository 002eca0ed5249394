"""Checks of the promises P1 to P8 over the recorded history of a run."""
