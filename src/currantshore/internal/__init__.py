"""Implementation modules; nothing outside the package imports them."""
