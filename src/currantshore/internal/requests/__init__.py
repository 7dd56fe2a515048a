"""Request handling and admission control of the decision core."""
