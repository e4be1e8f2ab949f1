"""Puts a gateway's part in changes of the rules together."""

from __future__ import annotations

from tealwing.peers.control import Control
from tealwing.peers.link import Link
from tealwing.replica.service.node import Replica
from tealwing.rollout.gate import Gate
from tealwing.rollout.here import Gateway, Here
from tealwing.rollout.outside import Outside
from tealwing.rollout.plan import Plan
from tealwing.rollout.service import Service
from tealwing.rollout.shell import Shell

PUSHBACK = 0.2  # s after which who was turned away may come again: a change takes less


def join(
    plan: Plan, replica: Replica, link: Link, gateway: Gateway, control: Control | None, outside: Outside | None = None
) -> Shell:
    """Before the replica starts; what the disk says is in force and the gate set by it when this returns.

    OSError where the mark can't be read.
    """
    gate = Gate(plan.queue, PUSHBACK, replica.clock.now, replica.incarnation)
    shell = Shell(plan, replica, link, Here(gateway), gate, outside)
    shell.begin()
    if control is not None:
        Service(shell, replica, control)
    return shell
