"""State that the gateways share: a replicated log (Raft), its disk, the state that it makes, and recovery."""
