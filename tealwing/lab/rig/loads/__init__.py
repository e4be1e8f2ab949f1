"""What clients do during a trial; read base, figures, echo, register, lease, queries, power."""
