"""Reduced service levels: the signals, the conditions on them, the controller, and what a level does. No I/O."""
