"""Chooses the backend of each packet of flows that carry a token."""
