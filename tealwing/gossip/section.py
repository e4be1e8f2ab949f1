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

MIN_BYTES_PER_S = 4 * MAX_DATAGRAM_BYTES  # below that a probe and its answers do not fit the probe interval


def _peer(words: values.Arguments) -> AllowedKey:
    allowed = "a name, its public key in base64, and if it ends, until and a time as 2027-01-31T12:00Z"
    if len(words) not in (2, 4) or (len(words) == 4 and words[2] != "until"):
        raise values.InvalidValueError(allowed)
    name, until = values.instance(words[:1]), inf
    try:
        public = keys.read_public(words[1])
    except InvalidKeyError as error:
        raise values.InvalidValueError(f"{allowed}; {error}") from None
    if len(words) == 4:
        try:
            when = datetime.datetime.fromisoformat(words[3])
        except ValueError:
            raise values.InvalidValueError(allowed) from None
        if when.tzinfo is None:
            raise values.InvalidValueError(f"{allowed}, with its zone")
        until = when.timestamp()
    return AllowedKey(name, public, until)


SPECS = (
    Spec("name", "NAME", "This instance's name, under which the others know its key.", values.instance, needed=True),
    Spec("listen", "HOST:PORT", "UDP address, IPv4, at which this instance listens and is told to others.",
         values.address, needed=True),
    Spec("key", "FILE", "This instance's private key, Ed25519 in PEM, mode 0600: `tealwing gossip keygen` makes one.",
         values.text, needed=True),
    Spec("peer", "NAME KEY [until TIME]",
         "An instance that is heard, by its public key in base64; this one too. Two lines of one name let a key change"
         " with an overlap; a line that goes is a key that holds no more, at SIGHUP.", _peer, many=True, needed=True),
    Spec("seed", "HOST:PORT", "An address to ask first. One that answers is enough.", values.address, many=True),
    Spec("ceiling", "SIZE", "Bytes a second, headers included, that no second passes.",
         values.sizes(MIN_BYTES_PER_S, 1 << 30), "16KB"),
    Spec("period", "DURATION", "Between two probes of members.", values.durations(0.2, 60.0), "1s"),
    Spec("answer", "DURATION", "How long a direct answer is waited for; below the period.",
         values.durations(0.05, 30.0), "300ms"),
    Spec("rumours", "DURATION", "Between two rounds of new rumours.", values.durations(0.05, 10.0), "200ms"),
    Spec("compare", "DURATION", "Between two comparisons of all that is known, while they agree.",
         values.durations(1.0, 3600.0), "10s"),
    Spec("skew", "DURATION", "Most that two instances' clocks may be apart; older datagrams are dropped.",
         values.durations(1.0, 300.0), "10s"),
    Spec("file", "FILE", "Where members and trust are kept over a restart; absent: nowhere.", values.text),
    Spec("control", "FILE", "Unix socket at which `tealwing gossip members` asks; absent: none.", values.text),
)  # fmt: skip


def build(block: Block, report: Report) -> GossipConfig:
    """Return the configuration that a checked section makes."""
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
        report.add(block.place("name", peers[0].place), "name", name, "a name that a peer line has, with its key")
    times = Timing(
        block.one("period"), block.one("answer"), block.one("rumours"), block.one("compare"), block.one("skew"),
        float(block.one("ceiling")),
    )  # fmt: skip
    if times.probe_timeout >= times.probe_interval / 2:
        report.add(
            block.place("answer", peers[0].place), "answer", values.format_duration(times.probe_timeout),
            f"less than half of the period, {values.format_duration(times.probe_interval)}: others are asked after it",
        )  # fmt: skip
    seeds = tuple(entry.value for entry in block.all("seed"))
    return GossipConfig(
        name, block.one("listen"), block.one("key"), allowed, seeds, times, block.one("file"), block.one("control")
    )


SECTION = Section(
    "gossip",
    "Instances that find each other and share suspicions about engines; see docs/operating/gossip.md. Absent: none.",
    SPECS,
    build,
)
