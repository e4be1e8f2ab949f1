"""One version of the rules on every gateway or on none: read plan, mark, shell, service."""
