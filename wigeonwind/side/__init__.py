"""The sidecar role: queue, endpoint clients, claims and control commands."""
