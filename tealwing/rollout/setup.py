"""Assemble the parts with which a gateway takes part in rollouts."""

from __future__ import annotations

from tealwing.peers.control import ControlServer
from tealwing.peers.link import Link
from tealwing.replica.service.node import Replica
from tealwing.rollout.admission.gate import Gate
from tealwing.rollout.control_calls import ControlCalls
from tealwing.rollout.local_gateway import Gateway, LocalGateway
from tealwing.rollout.observed_state import FederationLog
from tealwing.rollout.plan import Plan
from tealwing.rollout.runtime import Runtime

PUSHBACK = 0.2  # s of Retry-After; longer than a change takes


def join_rollout(
    plan: Plan,
    replica: Replica,
    link: Link,
    gateway: Gateway,
    control: ControlServer | None,
    federation: FederationLog | None = None,
) -> Runtime:
    """Create the runtime, before the replica starts; on return the version on disk is active and the gate is set.

    Raises OSError if the marker can't be read.
    """
    gate = Gate(plan.queue, PUSHBACK, replica.clock.now, replica.incarnation)
    runtime = Runtime(plan, replica, link, LocalGateway(gateway), gate, federation)
    runtime.begin()
    if control is not None:
        ControlCalls(runtime, replica, control)
    return runtime
