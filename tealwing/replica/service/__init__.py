"""Runtime of a Raft member: its thread, the I/O that the core requests, and the API for operators and gateways.

Read in this order: bootstrap, snapshots, recovery, listeners, member, status, node, control, state_feed.
"""
