"""Reduced service levels: measure signals, step a controller, limit admission. No I/O.

Read in this order: signals (sliding-window metrics), conditions (their grammar and checks), controller (which level
is in force; pure), admission (what a level admits; pure), plan and section (the operators' section `levels` as
records), governor (wraps the decision module), replay (a recorded trace through a plan).
"""
