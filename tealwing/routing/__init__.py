"""Which sites serve which groups of tables; pure. Read table, validate, diff, serving."""
