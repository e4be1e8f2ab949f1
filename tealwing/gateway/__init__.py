"""The gateway: the life of a request, the lock round the decisions, and the drain."""
