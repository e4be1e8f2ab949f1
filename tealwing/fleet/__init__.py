"""The parts of a gateway that work with its peers: link, control server, replica, leases and rules; see peering."""
