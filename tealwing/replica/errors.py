"""The base of the errors of this package."""

from __future__ import annotations


class ReplicaError(RuntimeError):
    """Something that the replicated log can't do or trust; the message says what, and the remedy where there is one."""
