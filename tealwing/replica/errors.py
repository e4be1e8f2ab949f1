"""Base class of the errors of the replicated log."""

from __future__ import annotations


class ReplicaError(RuntimeError):
    """An operation failed or stored data can't be trusted; the message names the remedy, if there is one."""
