"""Simulation of rollouts in virtual time with the production state machines.

Reading order: costs, tasks, host, copies, logs, gate, part, sites, fleet, measure.
"""
