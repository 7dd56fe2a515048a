"""Pool membership and configuration versions of the decision core."""
