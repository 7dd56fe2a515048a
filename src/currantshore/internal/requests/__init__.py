"""Requests and admission of the decision core."""
