"""The errors of the gossip package; all derive from GossipError."""

from __future__ import annotations

from enum import StrEnum


class GossipError(ValueError):
    """The base of all errors of the gossip package."""


class GossipConfigError(GossipError):
    """Gossip can't start or apply a new configuration; the message states the reason and what is allowed."""


class InvalidKeyError(GossipError):
    """A key can't be used; the message names the key and the reason."""


class CorruptStateError(GossipError):
    """The state file is incomplete or belongs to another instance; it has been renamed."""


class RejectionCause(StrEnum):
    """The reason for the rejection of a datagram or a rumour."""

    SIZE = "size"
    FORMAT = "format"
    VERSION = "version"
    KEY = "unknown key"
    SIGNATURE = "signature"
    TIME = "time"
    REPEATED = "repeated"
    STALE = "stale boot"
    FLOOD = "flood"
    NAME = "name"


class MessageRejectedError(GossipError):
    """A datagram is rejected and dropped; `cause` is the reason."""

    def __init__(self, cause: RejectionCause) -> None:
        super().__init__(cause.value)
        self.cause = cause
