"""The engine list: reading the coordinator's events, and following them."""
