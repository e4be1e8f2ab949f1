"""Hollow gateways: the real control side of a gateway without clients and engines, many to a process.

Scale tests run them where real gateways don't fit on one machine. A hollow gateway runs `fleet.peering.Peering`, the
same class that a gateway runs: peer link on TCP sockets, replica, registry, switch and gate. Only the gateway's
decisions are replaced, by a record of which version of the rules came in force when.
"""
