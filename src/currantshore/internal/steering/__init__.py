"""Decisions about flows whose every packet carries a compact token."""
