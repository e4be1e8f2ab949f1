"""Changes of rules in virtual time, on the real cores: costs, tasks, wires, host, copies, logs, door, part, sites,
fleet, measure.
"""
