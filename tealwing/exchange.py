"""The interface between a client protocol and the request handler; neither knows more of the other."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol


class InvalidRequestError(ValueError):
    """An invalid request; the text says why."""


class SettingsChangedError(InvalidRequestError):
    """The settings changed while the request was read; parse it again under `settings`."""

    def __init__(self, settings: Any) -> None:
        super().__init__("the settings changed while the request was read; send it again")
        self.settings = settings


def _never_left() -> bool:
    return False


@dataclass(frozen=True, slots=True)
class Query:
    """A client's request; times are seconds, memory is megabytes, cls and tenant are places in the settings."""

    request_id: bytes
    cls: int
    tenant: int
    ttl: float
    statement: bytes
    idempotency_key: bytes = b""
    cost: float | None = None
    memory_estimate: float = 0.0
    tables: int = 0
    received_at: float = 0.0  # monotonic; when its last byte had been read
    # whether its client has left; never blocks
    has_left: Callable[[], bool] = field(default=_never_left, compare=False)

    def set_client_check(self, has_left: Callable[[], bool]) -> None:
        """Set the check of whether the client has left, before the request is shared.

        It is set in place: a copy takes 8 microseconds, longer than all else that a client's leaving costs a request.
        """
        object.__setattr__(self, "has_left", has_left)


@dataclass(frozen=True, slots=True)
class Served:
    """The pages of the result, as the engine wrote them."""

    pages: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Rejected:
    """A rejection without effect: the client may retry, after retry_after seconds if that is not 0."""

    retry_after: float


@dataclass(frozen=True, slots=True)
class Failed:
    """A failure; the request may have had an effect."""


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The client cancelled the request; no answer is owed."""


Reply = Served | Rejected | Failed | Cancelled


class Exchange(Protocol):
    """One request in progress."""

    def run(self) -> Reply:
        """Run the request to its reply; blocks until then."""

    def cancel(self) -> None:
        """Cancel the request, from any thread."""


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may be decided. If it waited, the rules may have changed, and it must be parsed again."""

    waited: bool


@dataclass(frozen=True, slots=True)
class Deferred:
    """The request may not be decided now: it is rejected without effect, with a Retry-After in seconds."""

    retry_after: float
    reason: str


class AdmissionGate(Protocol):
    """The gate that requests pass before they are opened; see `tealwing.rollout.admission.gate`."""

    def admit(self, cls: str | None, tenant: str, group: int, until: float) -> Admitted | Deferred:
        """Admit a request, waiting until the monotonic time `until` at most, or defer it."""


OpenExchange = Callable[
    [Query, Any], Exchange
]  # takes a query and the settings it was read under; may raise InvalidRequestError
