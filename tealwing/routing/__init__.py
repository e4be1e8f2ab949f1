"""The routing table: which sites serve which groups of tables; pure.

Read in this order: table (routes and look-up), validate (faults of a table), diff (groups that a change of tables
affects), serving (zones that may serve a request now).
"""
