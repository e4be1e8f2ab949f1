"""State that gateways share, in a replicated log.

In this order: messages, raft/, commands, state, storage, then member and node.
"""
