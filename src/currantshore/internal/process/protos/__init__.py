"""Generated code of the service between balancers."""
