"""Small programs that stand in for outside systems in tests and demos."""
