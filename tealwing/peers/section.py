"""The section `peers` of the operators' file."""

from __future__ import annotations

from tealwing.conf import values
from tealwing.conf.schema import Block, Entry, Report, Section, Spec
from tealwing.peers.plan import Address, LinkTimes, Plan

# Voters link to all members: each pair of them has two connections, and each sends heartbeats to every member.
MAX_VOTERS = 64
# Members in all (docs/CAPACITY.md). A voter has a thread (with a small stack) and two descriptors per member, so a
# large fleet needs a higher limit on open files, which the link checks at its start. A learner has them per voter only.
MAX_MEMBERS = 1100
LEARNER = "learner"


def _member(arguments: values.Arguments) -> tuple[str, Address, bool]:
    if len(arguments) not in (2, 3) or arguments[2:] not in ((), (LEARNER,)):
        raise values.InvalidValueError("a name and its address, as n0 10.0.0.4:7950, and `learner` if it has no vote")
    return values.instance(arguments[:1]), values.address(arguments[1:2]), len(arguments) == 3


SPECS = (
    Spec("name", "NAME", "This gateway's name among the members.", values.instance, needed=True),
    Spec("fleet", "NAME", "The fleet's name; connections from another fleet are rejected.", values.instance, "fleet"),
    Spec("member", "NAME HOST:PORT [learner]", "A gateway and the TCP address, IPv4, of its peer link; this one too."
         " A learner follows the replicated log without a vote, and links to voters only.", _member, many=True,
         needed=True),
    Spec("control", "HOST:PORT", "TCP address, loopback or in the operators' network, that answers `tealwing peers`,"
         " `replica` and `lease`; absent: none.", values.address),
    Spec("beat", "DURATION", "Interval of heartbeats on a link that carries nothing else.",
         values.durations(0.05, 10.0), "200ms"),
    Spec("doubt", "DURATION", "Silence after which a peer is suspected; three beats or more.",
         values.durations(0.15, 60.0), "1s"),
    Spec("lost", "DURATION", "Silence after which a peer counts as dead; longer than doubt.",
         values.durations(0.3, 120.0), "2s"),
    Spec("silent", "DURATION", "Silence after which an inbound connection is closed; longer than lost.",
         values.durations(1.0, 600.0), "10s"),
    Spec("queue", "COUNT", "Most frames queued for one peer; beyond that the oldest is dropped and counted.",
         values.integers(16, 65536), "1024"),
    Spec("queue-bytes", "SIZE", "Most bytes queued for one peer.", values.sizes(1 << 20, 1 << 30), "8MB"),
    Spec("faults", "on|off", "Whether the control address accepts injected faults; for tests only.",
         values.switch, "off"),
)  # fmt: skip


def build(block: Block, report: Report) -> Plan:
    """Return the plan of a checked section; problems go to the report."""
    members: list[Entry] = block.all("member")
    first = members[0].place
    seen: dict[str, Entry] = {}
    addresses: dict[Address, str] = {}
    for entry in members:
        name, address, _ = entry.value
        if name in seen:
            report.add(
                entry.place, "member", f"a second member {name}", f"a name of its own; {seen[name].place} has this one"
            )
        seen[name] = entry
        if address in addresses:
            report.add(entry.place, "member", f"the address of {addresses[address]}", "an address of its own")
        addresses[address] = name
    if len(members) > MAX_MEMBERS:
        report.add(members[MAX_MEMBERS].place, "member", f"{len(members)} members", f"at most {MAX_MEMBERS}")
    voters = [entry for entry in members if not entry.value[2]]
    if len(voters) > MAX_VOTERS:
        report.add(voters[MAX_VOTERS].place, "member", f"{len(voters)} members without the word {LEARNER}",
                   f"at most {MAX_VOTERS}; more can be learners")  # fmt: skip
    if not voters:
        report.add(first, "member", f"only members with the word {LEARNER}", "at least one member that votes")
    name = block.one("name")
    if name not in seen:
        report.add(block.place("name", first), "name", name, "a name that a member line has")
    times = LinkTimes(block.one("beat"), block.one("doubt"), block.one("lost"), block.one("silent"))
    ordered = (
        ("doubt", times.suspect_after, "three beats", 3 * times.heartbeat),
        ("lost", times.dead_after, "doubt", times.suspect_after),
        ("silent", times.idle_timeout, "lost", times.dead_after),
    )
    for what, value, than, minimum in ordered:
        if value < minimum or (value == minimum and than != "three beats"):
            allowed = f"more than {than}, {values.format_duration(minimum)}"
            report.add(block.place(what, first), what, values.format_duration(value), allowed)
    return Plan(
        block.one("fleet"),
        name,
        tuple(entry.value[:2] for entry in members),
        times.scaled_for(len(members)),
        block.one("control"),
        block.one("queue"),
        block.one("queue-bytes"),
        block.one("faults"),
        tuple(entry.value[0] for entry in members if entry.value[2]),
    )


SECTION = Section(
    "peers",
    "The peer link between gateways: its members, heartbeats and timeouts; see docs/operating/peers.md. Absent: none.",
    SPECS,
    build,
)
