"""What passes between a client protocol and the life of a request; neither knows more of the other."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol


class InvalidRequestError(ValueError):
    """A request that can't be taken; the text says why."""


class SettingsChangedError(InvalidRequestError):
    """The settings changed while the request was read; it may be read anew under `settings`."""

    def __init__(self, settings: Any) -> None:
        super().__init__("the settings changed while the request was read; send it again")
        self.settings = settings


def _never_left() -> bool:
    return False


@dataclass(frozen=True, slots=True)
class Query:
    """A client's request; times are seconds, need is megabytes, cls and tenant are places in the settings."""

    request_id: bytes
    cls: int
    tenant: int
    ttl: float
    statement: bytes
    idempotency_key: bytes = b""
    cost: float | None = None
    memory_estimate: float = 0.0
    tables: int = 0
    received_at: float = 0.0  # monotonic, when its last byte had been read
    has_left: Callable[[], bool] = field(default=_never_left, compare=False)  # whether its client has left; never waits

    def set_client_check(self, has_left: Callable[[], bool]) -> None:
        """Have this asked whether the client has left, before anybody else has the request.

        It is set in place: a copy takes 8 microseconds, longer than all else that a client's leaving costs a request.
        """
        object.__setattr__(self, "has_left", has_left)


@dataclass(frozen=True, slots=True)
class Served:
    """All pages of the result, as the engine wrote them."""

    pages: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Rejected:
    """A refusal: trying again does no harm, after retry_after seconds if that is not 0."""

    retry_after: float


@dataclass(frozen=True, slots=True)
class Failed:
    """A failure, which promises nothing."""


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The client gave the request up; nothing is owed."""


Reply = Served | Rejected | Failed | Cancelled


class Exchange(Protocol):
    """One request under way."""

    def run(self) -> Reply:
        """See the request through to its one reply; blocks until then."""

    def cancel(self) -> None:
        """Give the request up, from any thread."""


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request may be decided; held: the rules may have changed since it was read, and it must be read anew."""

    waited: bool


@dataclass(frozen=True, slots=True)
class Deferred:
    """A request may not be decided now: it is refused harmlessly, to be tried again after pushback seconds."""

    retry_after: float
    reason: str


class AdmissionGate(Protocol):
    """What requests pass before they are opened; see `tealwing.rollout.admission.gate`."""

    def admit(self, cls: str | None, tenant: str, group: int, until: float) -> Admitted | Deferred:
        """Let a request in, at once or when it may be, by the monotonic time `until` at the latest."""


OpenExchange = Callable[[Query, Any], Exchange]  # a query and the settings it was read under; may raise Unusable
