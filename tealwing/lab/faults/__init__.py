"""Fault injection by scenario: network conditions between processes, and faults of the processes themselves."""
