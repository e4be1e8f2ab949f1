"""A process that hosts hollow gateways: `python -m tealwing.lab.hollow.host FILE`.

FILE is a `specification.Host` as JSON. The process answers each line on its standard input, such as `figures`, with
`records.HostMetrics` as one line of JSON. The line `stop` ends the process, and so does the end of the input.
"""

from __future__ import annotations

import logging
import os
import sys
import threading
import time
from pathlib import Path

import msgspec

from tealwing import log
from tealwing.lab.hollow.member import HollowMember
from tealwing.lab.hollow.records import HostMetrics, MemberMetrics, Ready
from tealwing.lab.hollow.specification import Host

STACK_SIZE = 256 * 1024  # bytes per thread, as in a gateway
SWITCH_INTERVAL = 0.1  # s between switches of threads, as in a gateway


class HeldTimes(logging.Handler):
    """Collects how long gates were closed, and prints faults to standard error; other events are dropped."""

    FAULTS = frozenset({"must_hold_broken", "rules_fault", "replica_broken", "rules_unusable", "thread_refused"})

    def __init__(self) -> None:
        super().__init__()
        self.held_ms: list[float] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Handle one log event."""
        fields = getattr(record, "fields", {})
        if record.msg == "rules_opened":
            self.held_ms.append(float(fields["held_ms"]))
        elif record.msg in self.FAULTS:
            print(record.msg, fields, file=sys.stderr, flush=True)


def host_metrics(members: list[HollowMember], held: HeldTimes) -> HostMetrics:
    """Return the current metrics of this process and its members."""
    status = Path("/proc/self/status").read_text()
    tasks = list(Path("/proc/self/task").iterdir())
    return HostMetrics(
        time.process_time(),
        int(status.partition("VmRSS:")[2].split()[0]),
        len(tasks),
        sum(1 for _ in Path("/proc/self/fd").iterdir()),
        tuple(_member(one) for one in members),
        {one.name: {str(number): at for number, at in one.gateway.in_force.items()} for one in members},
        tuple(held.held_ms),
    )


def _member(member: HollowMember) -> MemberMetrics:
    peering = member.peering
    traffic = peering.link.traffic()
    assert peering.replica is not None and peering.rules is not None
    core, gate = peering.replica.core, peering.rules.gate_control
    return MemberMetrics(
        member.name, core.role.value, peering.replica.state.applied, gate.in_force, gate.is_open,
        traffic.sent, traffic.sent_bytes, traffic.received, traffic.received_bytes,
    )  # fmt: skip


def main() -> int:
    """Host the members until the input ends."""
    host = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Host)
    threading.stack_size(STACK_SIZE)
    sys.setswitchinterval(SWITCH_INTERVAL)
    held = HeldTimes()
    log.logger.handlers[:] = [held]
    members = [HollowMember(host, name) for name in host.here]
    for member in members:
        member.start()
    print(msgspec.json.encode(Ready(len(members))).decode(), flush=True)
    for line in sys.stdin:
        if line.strip() == "stop":
            break
        print(msgspec.json.encode(host_metrics(members, held)).decode(), flush=True)
    os._exit(0)  # without stopping the threads: the members' directories are temporary


if __name__ == "__main__":
    sys.exit(main())
