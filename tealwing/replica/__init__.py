"""State that all gateways share, in a replicated log: read raft.py, state.py, storage.py, then member.py and node.py."""
