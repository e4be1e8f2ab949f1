"""Errors of an attempt before its first answer; the class shows whether the attempt may have run."""


class ConnectError(Exception):
    """No connection was established in time, or the attempt never reached the engine completely: nothing ran."""


class ConnectionEndedError(ConnectError):
    """The connection had ended before a byte of the attempt was sent: another connection may be used."""


class ConnectionBrokenError(Exception):
    """The connection failed after the attempt may have reached the engine completely: it may have run."""


class AttemptWithdrawnError(Exception):
    """The attempt was withdrawn before it was sent completely: nothing ran."""
