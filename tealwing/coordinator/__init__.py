"""The engine list: parsing the coordinator's events, and watching the coordinator for them."""
