"""Membership changes: voter_plan decides on the next one, promotion proposes it, changes passes it to the core."""
