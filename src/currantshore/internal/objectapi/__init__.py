"""The platform's object API and its records."""
