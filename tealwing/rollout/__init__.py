"""One version of the rules on every gateway or on none: read plan, view, member, witnesses, conductor, mark, shell."""
