"""The entry role: callers' HTTP, dispatch to sidecars, bookings."""
