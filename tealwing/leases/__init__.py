"""Leases for tasks that one gateway does for the whole fleet; the argument is in docs/leases.md."""
