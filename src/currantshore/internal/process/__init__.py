"""The balancer process, which runs the decision core."""
