"""One member at work: its thread, the effects that the Raft core asks for, and what operators and gateways call.

Read bootstrap, snapshots, recovery and listeners, then member, status and node, then control and state_feed.
"""
