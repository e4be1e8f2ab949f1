"""Changes of voters and learners: voter_plan decides which comes next, promotion proposes it, changes asks the core."""
