"""Adapter to the outer platform: its names, formats and calls, but no decisions."""
