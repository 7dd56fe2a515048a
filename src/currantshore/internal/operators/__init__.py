"""Building blocks of the operators' commands."""
