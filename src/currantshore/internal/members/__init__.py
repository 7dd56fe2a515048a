"""Membership and configuration versions of the decision core."""
