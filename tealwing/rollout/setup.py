"""Puts a gateway's part in changes of the rules together."""

from __future__ import annotations

from tealwing.peers.control import Control
from tealwing.peers.link import Link
from tealwing.replica.node import Replica
from tealwing.rollout.admission.gate import Gate
from tealwing.rollout.control_calls import ControlCalls
from tealwing.rollout.federation_log import FederationLog
from tealwing.rollout.local_gateway import Gateway, LocalGateway
from tealwing.rollout.plan import Plan
from tealwing.rollout.runtime import Runtime

PUSHBACK = 0.2  # s after which who was turned away may come again: a change takes less


def join_rollout(
    plan: Plan,
    replica: Replica,
    link: Link,
    gateway: Gateway,
    control: Control | None,
    federation: FederationLog | None = None,
) -> Runtime:
    """Before the replica starts; what the disk says is in force and the gate set by it when this returns.

    OSError where the mark can't be read.
    """
    gate = Gate(plan.queue, PUSHBACK, replica.clock.now, replica.start_number)
    shell = Runtime(plan, replica, link, LocalGateway(gateway), gate, federation)
    shell.begin()
    if control is not None:
        ControlCalls(shell, replica, control)
    return shell
