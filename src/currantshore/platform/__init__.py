"""Adapt the formats, names and calls of the users' platform.

Everything is decoded here once, into the types of ``internal/steering``. The
package makes no decisions, and no name of the platform's formats is used
outside it.
"""
