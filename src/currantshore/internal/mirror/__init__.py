"""How hosts learn configuration and backend servers from each other."""
