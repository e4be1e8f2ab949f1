"""Assembles what a gateway runs among its peers: link, control address, replica, leases, rules (peering.py)."""
