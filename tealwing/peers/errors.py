"""The base errors of the package peers."""

from __future__ import annotations


class PeersError(Exception):
    """The base of all errors of the peer link and the control address."""


class LinkError(PeersError, ValueError):
    """The peer link can't start or change; the message names the section, the cause and what is allowed."""
