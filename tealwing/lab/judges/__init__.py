"""Judges: each checks the history of a trial and reports violations of its rules. Pure; no process is contacted."""
