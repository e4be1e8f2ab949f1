"""Membership changes: voter_plan chooses the next one, promotion proposes it, changes passes it to the Raft core."""
