"""Hollow gateways: the real control plane of a gateway without clients and engines, many per process.

Scale tests run them where as many real gateways don't fit on one machine. A hollow gateway runs
`fleet.peering.Peering`, the same class as a gateway: peer link on TCP sockets, replica, registry, switch and gate. Only
the gateway's decisions are replaced, by a record of when each version of the rules came into force.
"""
