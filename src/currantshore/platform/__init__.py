"""The users' platform: its formats, names and calls, and no decision.

Everything is decoded here once, into the types of ``internal/steering``. No
name of the platform's wire is used outside this package.
"""
