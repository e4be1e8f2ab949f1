"""The interface between a client protocol and the request handler, which depend on nothing else of each other."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol


class InvalidRequestError(ValueError):
    """A request is invalid; the message states the reason."""


class SettingsChangedError(InvalidRequestError):
    """The settings changed while the request was read; parse it again under `settings`."""

    def __init__(self, settings: Any) -> None:
        super().__init__("the settings changed while the request was read; send it again")
        self.settings = settings


def _never_left() -> bool:
    return False


def _always_fits(size: int) -> bool:
    return True


@dataclass(frozen=True, slots=True)
class Query:
    """A client's request; times are in seconds, memory is in megabytes, cls and tenant are indices in the settings."""

    request_id: bytes
    cls: int
    tenant: int
    ttl: float
    statement: bytes
    idempotency_key: bytes = b""
    cost: float | None = None
    memory_estimate: float = 0.0
    tables: int = 0  # its group of tables, which the routing table maps to sites
    received_at: float = 0.0  # monotonic time at which its last byte was read
    # whether the client has disconnected, or may have; must not block
    has_left: Callable[[], bool] = field(default=_never_left, compare=False)
    # reserves further bytes for the request until its reply is sent; returns whether they were there
    reserve: Callable[[int], bool] = field(default=_always_fits, compare=False)

    def set_client(self, has_left: Callable[[], bool], reserve: Callable[[int], bool]) -> None:
        """Set the calls that concern the client's session, before the request is shared between threads.

        They are set in place: a copy takes 8 microseconds, more than the handling of disconnects per request.
        """
        object.__setattr__(self, "has_left", has_left)
        object.__setattr__(self, "reserve", reserve)


@dataclass(frozen=True, slots=True)
class Served:
    """The request was served: the pages of the result as the engine wrote them."""

    pages: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request was rejected without effect; the client may retry, after retry_after seconds if that is not 0."""

    retry_after: float


@dataclass(frozen=True, slots=True)
class Failed:
    """The request failed and may have had an effect."""


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The client cancelled the request and needs no answer."""


Reply = Served | Rejected | Failed | Cancelled


class Exchange(Protocol):
    """One request in progress."""

    def run(self) -> Reply:
        """Run the request to its reply; blocks until then."""

    def cancel(self) -> None:
        """Cancel the request, from any thread."""


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may proceed. If it waited, the rules may have changed and it must be parsed again."""

    waited: bool


@dataclass(frozen=True, slots=True)
class Deferred:
    """The request may not proceed now and is rejected without effect, with a Retry-After in seconds."""

    retry_after: float
    reason: str


class AdmissionGate(Protocol):
    """The gate that admits requests before their exchange opens; see `tealwing.rollout.admission.gate`."""

    def admit(self, cls: str | None, tenant: str, group: int, until: float) -> Admitted | Deferred:
        """Admit a request, waiting no longer than the monotonic time `until`, or defer it."""


OpenExchange = Callable[
    [Query, Any], Exchange
]  # takes a query and the settings it was read under; may raise InvalidRequestError
