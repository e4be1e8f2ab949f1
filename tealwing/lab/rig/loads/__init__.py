"""The loads of a trial: what its clients do; read base, metrics, echo, register, lease, queries and power in order."""
