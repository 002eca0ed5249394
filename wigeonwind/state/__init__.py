"""Shared and persistent state: configuration, store, membership, leases, bookings."""
