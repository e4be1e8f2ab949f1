"""How an attempt fails before an engine's answer, and whether it may have run."""


class ConnectError(Exception):
    """No connection was established in time, or the attempt never reached the engine completely: nothing ran."""


class ConnectionEndedError(ConnectError):
    """The connection had ended before a byte of the attempt left: another may be taken."""


class ConnectionBrokenError(Exception):
    """The connection failed when the attempt may have reached the engine completely: it may have run."""


class AttemptWithdrawnError(Exception):
    """The attempt was withdrawn before a byte of it was sent: nothing ran."""
