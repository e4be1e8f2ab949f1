"""Explicit-state model checks of the production code: every interleaving of a bounded number of steps."""
