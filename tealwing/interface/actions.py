"""The actions with which the decision module answers an event. Times are seconds, memory is in megabytes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to an engine, as a new attempt that may take timeout seconds."""

    id: int
    engine: int
    timeout: float


@dataclass(frozen=True, slots=True)
class SetResources:
    """Set the memory and priority of the request's next attempts, and the priority of those in flight."""

    id: int
    priority: int
    memory: float


@dataclass(frozen=True, slots=True)
class Reject:
    """Reject the request as its final answer; retry_after 0 sends no Retry-After.

    is_load_shedding: a service level rejected it, not the state of the fleet.
    """

    id: int
    retry_after: float
    is_load_shedding: bool = False


@dataclass(frozen=True, slots=True)
class Fail:
    """Fail the request as its final answer; it may have had an effect."""

    id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel one attempt of the request."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a TimerFired event with the token after delay seconds."""

    delay: float
    token: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Send a health check to an engine."""

    engine: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to an engine."""

    engine: int


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send bytes to one gateway, or to all where peer is None."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to changes of the engine list, or end the subscription."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class FetchEngineList:
    """Request the whole engine list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the operators' report."""

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
