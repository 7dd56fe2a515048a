"""The balancer process around the decision core."""
