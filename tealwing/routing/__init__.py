"""The routing table, which says which sites serve which groups of tables; pure functions.

Read in this order: table (routes and look-up), validate (faults of a table), diff (groups that a table change
affects), serving (zones that may serve a request now).
"""
