"""Gossip between instances: membership, suspicions about engines, and beliefs. Only transport and files do I/O."""
