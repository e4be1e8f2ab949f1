"""Changes of rules in virtual time, on the real cores.

Read costs, tasks, host, copies, logs, gate, part, sites, fleet, measure.
"""
