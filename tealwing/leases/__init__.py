"""Leases for tasks that one gateway runs for the whole fleet; docs/leases.md has the safety argument.

Read in this order: `tealwing.lease_bounds` (bounds on clock errors), `holder` and `expiry` (the holder's and the
leader's side, pure), `manager` (threads and the replicated state), `service` (control calls), `sweep` (a task).
"""
