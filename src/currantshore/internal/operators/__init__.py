"""What the operators' commands are made of."""
