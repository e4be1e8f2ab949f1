"""The error for malformed input in the simulator's protocol."""


class WireError(Exception):
    """The input violates the protocol; the text says where. The sender has a fault or uses another protocol version."""
