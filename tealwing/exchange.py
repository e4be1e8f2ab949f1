"""What passes between a client protocol and the life of a request; neither knows more of the other."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol


class Unusable(ValueError):
    """A request that can't be taken; the text says why."""


@dataclass(frozen=True, slots=True)
class Query:
    """A client's request; times are seconds, need is megabytes, cls and tenant are places in the settings."""

    call: bytes
    cls: int
    tenant: int
    ttl: float
    statement: bytes
    dedupe: bytes = b""
    cost: float | None = None
    need: float = 0.0
    tables: int = 0
    taken: float = 0.0  # monotonic, when its last byte had been read


@dataclass(frozen=True, slots=True)
class Served:
    """All pages of the result, as the engine wrote them."""

    pages: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Refused:
    """A refusal: trying again does no harm, after retry_after seconds if that is not 0."""

    retry_after: float


@dataclass(frozen=True, slots=True)
class Failed:
    """A failure, which promises nothing."""


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The client gave the request up; nothing is owed."""


Reply = Served | Refused | Failed | Abandoned


class Exchange(Protocol):
    """One request under way."""

    def run(self) -> Reply:
        """See the request through to its one reply; blocks until then."""

    def abandon(self) -> None:
        """Give the request up, from any thread."""


Open = Callable[[Query, Any], Exchange]  # a query and the settings it was read under; may raise Unusable
