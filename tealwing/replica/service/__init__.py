"""Runtime of a Raft member: its thread, the I/O that the core requests, and the API for operators and gateways.

Read bootstrap, snapshots, recovery and listeners, then member, status and node, then control and state_feed.
"""
