"""Explicit-state model checks: all interleavings of a few steps, on the very code that runs."""
