"""Measurements; each script prints one JSON line."""
