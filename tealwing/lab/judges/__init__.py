"""Judges: each reads the history of a trial and names what must not have happened. Pure; no process is asked."""
