"""Replication of configuration and backend servers between hosts."""
