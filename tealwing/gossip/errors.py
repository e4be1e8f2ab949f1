"""The errors of the gossip package; all derive from GossipError."""

from __future__ import annotations

from enum import StrEnum


class GossipError(ValueError):
    """The base of all errors of the gossip package."""


class GossipConfigError(GossipError):
    """Gossip can't start or take a changed configuration; the message says why and what is allowed."""


class InvalidKeyError(GossipError):
    """A key can't be used; the message says which and why."""


class CorruptStateError(GossipError):
    """The state file is incomplete or belongs to another instance; it has been renamed."""


class RejectionCause(StrEnum):
    """Why a datagram or a rumour was rejected."""

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
    """A datagram is rejected and dropped; `cause` says why."""

    def __init__(self, cause: RejectionCause) -> None:
        super().__init__(cause.value)
        self.cause = cause
