"""The error for malformed input in the simulator's protocol."""


class WireError(Exception):
    """The input violates the protocol; the message states where. The sender is faulty or of another version."""
