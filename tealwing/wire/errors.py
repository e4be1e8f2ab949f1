"""The error of malformed input on the simulator's wire."""


class WireError(Exception):
    """The input breaks the wire's format; the text says where. The host has to be mended, or is of another version."""
