"""Builders for the tests of gossip: a payload, and a signed `Alive` of a member."""

from __future__ import annotations

from typing import Any

from tealwing.gossip import messages
from tealwing.gossip.messages import Alive, Payload, Ping
from tealwing.lab.network import EPOCH, SimulatedKey


def payload(name: str = "n0", sequence: int = 1, at: float = EPOCH, boot: int = 5, **changes: Any) -> Payload:
    defaults: dict[str, Any] = dict(
        name=name, boot=boot, sequence=sequence, sent_at_ms=round(at * 1e3), body=Ping(1, ""), rumours=[]
    )
    return Payload(**(defaults | changes))


def alive(name: str = "n1", incarnation: int = 0, boot: int = 5) -> Alive:
    signed = messages.sign_rumour(
        Alive(name, "10.0.0.9", 7946, boot, incarnation, bytes(8), bytes(64)), SimulatedKey(name)
    )
    assert isinstance(signed, Alive)
    return signed
