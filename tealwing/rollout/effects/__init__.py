"""Carry out what the agent asks for: disk, checks, activation, log. Read persisted_marker, executor, log_client."""
