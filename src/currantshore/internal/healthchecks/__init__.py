"""Backend server health of the decision core."""
