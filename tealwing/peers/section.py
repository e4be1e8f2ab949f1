"""The section `peers` of the operators' file."""

from __future__ import annotations

from tealwing.conf import values
from tealwing.conf.schema import Block, Entry, Report, Section, Spec
from tealwing.peers.plan import Address, Plan, Times

MOST_MEMBERS = 64  # each has a thread and a queue here


def _member(words: values.Words) -> tuple[str, Address]:
    if len(words) != 2:
        raise values.Unfit("a name and its address, as n0 10.0.0.4:7950")
    return values.instance(words[:1]), values.address(words[1:])


SPECS = (
    Spec("name", "NAME", "This gateway's name among the members.", values.instance, needed=True),
    Spec("fleet", "NAME", "The fleet's name: a peer of another is not heard.", values.instance, "fleet"),
    Spec("member", "NAME HOST:PORT", "A gateway and the TCP address, IPv4, of its peer link; this one too.",
         _member, many=True, needed=True),
    Spec("control", "HOST:PORT", "TCP address, loopback or the operators' own, at which `tealwing peers`, `replica` and"
         " `lease` ask; absent: none.", values.address),
    Spec("beat", "DURATION", "Between two signs of life on a link that carries nothing else.",
         values.durations(0.05, 10.0), "200ms"),
    Spec("doubt", "DURATION", "Silence after which a peer is suspected; three beats or more.",
         values.durations(0.15, 60.0), "1s"),
    Spec("lost", "DURATION", "Silence after which a peer is held for lost; longer than doubt.",
         values.durations(0.3, 120.0), "2s"),
    Spec("silent", "DURATION", "Silence after which an inbound connection is closed; longer than lost.",
         values.durations(1.0, 600.0), "10s"),
    Spec("queue", "COUNT", "Frames that wait for one peer; past that the oldest is dropped and counted.",
         values.wholes(16, 65536), "1024"),
    Spec("queue-bytes", "SIZE", "The same in bytes.", values.sizes(1 << 20, 1 << 30), "8MB"),
    Spec("faults", "on|off", "Whether the control address takes the laboratory's faults. Never in service.",
         values.switch, "off"),
)  # fmt: skip


def build(block: Block, report: Report) -> Plan:
    """The plan that a checked section makes."""
    members: list[Entry] = block.all("member")
    first = members[0].place
    seen: dict[str, Entry] = {}
    addresses: dict[Address, str] = {}
    for entry in members:
        name, address = entry.value
        if name in seen:
            report.add(entry.place, "member", f"a second member {name}", f"one, and {seen[name].place} has it")
        seen[name] = entry
        if address in addresses:
            report.add(entry.place, "member", f"the address of {addresses[address]}", "an address of its own")
        addresses[address] = name
    if len(members) > MOST_MEMBERS:
        report.add(members[MOST_MEMBERS].place, "member", f"{len(members)} members", f"at most {MOST_MEMBERS}")
    name = block.one("name")
    if name not in seen:
        report.add(block.place("name", first), "name", name, "a name that a member line has, with its address")
    times = Times(block.one("beat"), block.one("doubt"), block.one("lost"), block.one("silent"))
    ordered = (("doubt", times.doubt, "three beats", 3 * times.beat), ("lost", times.lost, "doubt", times.doubt),
               ("silent", times.silent, "lost", times.lost))  # fmt: skip
    for what, value, than, least in ordered:
        if value < least or (value == least and than != "three beats"):
            allowed = f"more than {than}, {values.written_duration(least)}"
            report.add(block.place(what, first), what, values.written_duration(value), allowed)
    return Plan(
        block.one("fleet"),
        name,
        tuple(entry.value for entry in members),
        times,
        block.one("control"),
        block.one("queue"),
        block.one("queue-bytes"),
        block.one("faults"),
    )


SECTION = Section(
    "peers",
    "The link between gateways: who they are, and how their silence is judged; see docs/operating/peers.md."
    " Absent: none.",
    SPECS,
    build,
)
