"""The roles a daemon can take, and what they share."""
