"""The routing table, which maps groups of tables to the sites that serve them; pure functions.

Read in this order: table (routes and look-up), validate (faults of a table), diff (groups that a table change
affects), serving (zones that may serve a request now).
"""
