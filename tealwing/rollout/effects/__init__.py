"""Execute the agent's actions: disk, checks, activation, log. Read persisted_marker, executor, log_client."""
