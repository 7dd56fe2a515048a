"""Flow placement of the decision core."""
