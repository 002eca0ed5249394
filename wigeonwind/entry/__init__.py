"""The entry role: HTTP server for callers, dispatch to sidecars, bookings."""
