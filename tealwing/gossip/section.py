"""The section `gossip` of the operators' file."""

from __future__ import annotations

import datetime
from math import inf

from tealwing.conf import values
from tealwing.conf.schema import Block, Entry, Report, Section, Spec
from tealwing.gossip import keys
from tealwing.gossip.config import GossipConfig, Timing
from tealwing.gossip.errors import InvalidKeyError
from tealwing.gossip.keys import AllowedKey
from tealwing.gossip.messages import MAX_DATAGRAM_BYTES

MIN_BYTES_PER_S = 4 * MAX_DATAGRAM_BYTES  # with less, a probe and its answers don't fit into the probe interval


def _peer(arguments: values.Arguments) -> AllowedKey:
    allowed = "a name and its public key in base64, and if it expires, until and a time as 2027-01-31T12:00Z"
    if len(arguments) not in (2, 4) or (len(arguments) == 4 and arguments[2] != "until"):
        raise values.InvalidValueError(allowed)
    name, until = values.instance(arguments[:1]), inf
    try:
        public = keys.read_public(arguments[1])
    except InvalidKeyError as error:
        raise values.InvalidValueError(f"{allowed}; {error}") from None
    if len(arguments) == 4:
        try:
            when = datetime.datetime.fromisoformat(arguments[3])
        except ValueError:
            raise values.InvalidValueError(allowed) from None
        if when.tzinfo is None:
            raise values.InvalidValueError(f"{allowed}, with a time zone")
        until = when.timestamp()
    return AllowedKey(name, public, until)


SPECS = (
    Spec("name", "NAME", "This instance's name, under which the others list its key.", values.instance, needed=True),
    Spec("listen", "HOST:PORT", "UDP address, IPv4, at which this instance listens and which it announces to others.",
         values.address, needed=True),
    Spec("key", "FILE", "This instance's private key, Ed25519 in PEM, mode 0600: `tealwing gossip keygen` makes one.",
         values.text, needed=True),
    Spec("peer", "NAME KEY [until TIME]",
         "An instance whose datagrams are accepted, with its public key in base64; this instance too. Two lines of one"
         " name let a key change with an overlap; at SIGHUP a key whose line was removed is revoked.", _peer, many=True,
         needed=True),
    Spec("seed", "HOST:PORT", "An address to contact first. One that answers is enough.", values.address, many=True),
    Spec("ceiling", "SIZE", "Most bytes sent in any second, headers included.",
         values.sizes(MIN_BYTES_PER_S, 1 << 30), "16KB"),
    Spec("period", "DURATION", "Interval between two probes of members.", values.durations(0.2, 60.0), "1s"),
    Spec("answer", "DURATION", "Timeout of the direct answer to a probe; less than half of the period.",
         values.durations(0.05, 30.0), "300ms"),
    Spec("rumours", "DURATION", "Interval between two rounds of new rumours.", values.durations(0.05, 10.0), "200ms"),
    Spec("compare", "DURATION", "Interval between two comparisons of the member lists, while they agree.",
         values.durations(1.0, 3600.0), "10s"),
    Spec("skew", "DURATION", "Most that two instances' clocks may differ; datagrams beyond that are dropped.",
         values.durations(1.0, 300.0), "10s"),
    Spec("file", "FILE", "File that keeps members and trust over a restart; absent: none.", values.text),
    Spec("control", "FILE", "Unix socket that answers `tealwing gossip members`; absent: none.", values.text),
)  # fmt: skip


def build(block: Block, report: Report) -> GossipConfig:
    """Return the configuration of a checked section; problems go to the report."""
    peers: list[Entry] = block.all("peer")
    allowed = tuple(entry.value for entry in peers)
    for entry in peers:
        same = [a for a in allowed if a.name == entry.value.name]
        if len(same) > keys.MAX_KEYS_PER_NAME:
            report.add(
                entry.place, "peer", f"{len(same)} keys of {entry.value.name}", f"at most {keys.MAX_KEYS_PER_NAME}"
            )
        if any(a.public == entry.value.public and a.name != entry.value.name for a in allowed):
            report.add(entry.place, "peer", f"a key of {entry.value.name} that another name has", "a key of its own")
    name = block.one("name")
    if all(a.name != name for a in allowed):
        report.add(block.place("name", peers[0].place), "name", name, "the name of a peer line")
    times = Timing(
        block.one("period"), block.one("answer"), block.one("rumours"), block.one("compare"), block.one("skew"),
        float(block.one("ceiling")),
    )  # fmt: skip
    if times.probe_timeout >= times.probe_interval / 2:
        report.add(
            block.place("answer", peers[0].place), "answer", values.format_duration(times.probe_timeout),
            f"less than half of the period, {values.format_duration(times.probe_interval)}: indirect probes follow",
        )  # fmt: skip
    seeds = tuple(entry.value for entry in block.all("seed"))
    return GossipConfig(
        name, block.one("listen"), block.one("key"), allowed, seeds, times, block.one("file"), block.one("control")
    )


SECTION = Section(
    "gossip",
    "Membership of the instances and their reports on engines' health; see docs/operating/gossip.md. Absent: none.",
    SPECS,
    build,
)
