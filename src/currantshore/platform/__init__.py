"""Adapt the formats, names and calls of the users' platform.

Everything is decoded here once; entries, routes and tables become types of
``internal/steering``. The package decides nothing but the meaning of unreadable
values, and no name of the platform's formats is used outside it.
"""
