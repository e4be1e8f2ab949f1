"""The base of the errors of this package."""

from __future__ import annotations


class PeersError(Exception):
    """Base of all errors of the peer link and the control address."""


class LinkError(PeersError, ValueError):
    """The link cannot start; the message names the section, the cause and what is allowed."""
