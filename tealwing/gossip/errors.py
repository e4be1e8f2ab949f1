"""The errors of gossip; all derive from GossipError."""

from __future__ import annotations

from enum import StrEnum


class GossipError(ValueError):
    """The base of all errors of gossip."""


class GossipConfigError(GossipError):
    """Gossip can't begin or change; the message says why and what is allowed."""


class InvalidKeyError(GossipError):
    """A key that can't be used; the message says which and why."""


class CorruptStateError(GossipError):
    """A persisted state of another instance, or not complete; it has been set aside."""


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
    """A datagram that is dropped."""

    def __init__(self, cause: RejectionCause) -> None:
        super().__init__(cause.value)
        self.cause = cause
