"""Faults on purpose: what happens to frames between processes, and to the processes themselves, by a scenario."""
