"""The actions with which the decision module answers an event. Times are seconds, memory is in megabytes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Send:
    """Hand the request to an engine, for timeout seconds at most."""

    id: int
    engine: int
    timeout: float


@dataclass(frozen=True, slots=True)
class SetResources:
    """Memory and priority of the request's next attempts; the priority also of those out."""

    id: int
    priority: int
    memory: float


@dataclass(frozen=True, slots=True)
class Reject:
    """A final no; retry_after 0 gives no advice. shed: a service level turned it away, not the fleet's state."""

    id: int
    retry_after: float
    is_load_shedding: bool = False


@dataclass(frozen=True, slots=True)
class Fail:
    """A final failure; promises nothing."""

    id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for TimerFired after delay seconds."""

    delay: float
    token: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Ask an engine how it is."""

    engine: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close idle connections to an engine."""

    engine: int


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Bytes for one gateway, or for all where peer is None."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for changes of the engine list from now on, or end that."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class FetchEngineList:
    """Ask for the whole engine list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators' report."""

    text: str


Action = (
    Send
    | SetResources
    | Reject
    | Fail
    | CancelAttempt
    | SetTimer
    | CheckHealth
    | CloseIdleConnections
    | SendToPeer
    | Subscribe
    | FetchEngineList
    | Log
)
