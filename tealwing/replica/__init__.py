"""State that all gateways share, in a replicated log: read raft, state, storage, member, node."""
