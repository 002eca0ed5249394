"""State that is agreed or kept: text, store client, membership, leases, bookings."""
