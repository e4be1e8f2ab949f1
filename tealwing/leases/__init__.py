"""Leases for tasks that one gateway does for the fleet; docs/leases.md has the safety argument.

Read in this order: `bounds` (trust in clocks), `holder` and `expiry` (both ends of a lease, pure), `manager` (threads
and the replicated state), `service` (control calls), `sweep` (the first such task).
"""
