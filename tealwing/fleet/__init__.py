"""What a gateway runs among its peers, put together: peering.py."""
