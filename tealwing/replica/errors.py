"""Base class of the errors of this package."""

from __future__ import annotations


class ReplicaError(RuntimeError):
    """An operation that failed or data that can't be trusted; the message has the remedy, if there is one."""
