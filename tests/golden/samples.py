"""One sample of each message and stored record, and functions that encode and store them.

`python -m tests.golden.samples DIRECTORY` writes all samples. `messages.json` and the directories beside this module
are reference output of commit 6fdac00 and are never written again: `tests/test_golden.py` compares the output of the
current code with them.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from tealwing.gossip import keys, persisted_state
from tealwing.gossip import messages as gossip
from tealwing.peers import frames, ping
from tealwing.peers import messages as peers
from tealwing.record import CommandResult
from tealwing.replica import commands
from tealwing.replica import messages as replica
from tealwing.replica.forwarding import protocol
from tealwing.replica.state import State
from tealwing.replica.storage.disk import Disk
from tealwing.replica.storage.store import Storage
from tealwing.rollout.effects.persisted_marker import PersistedMarker
from tealwing.rules import records
from tealwing.rules.records import digest

HERE = Path(__file__).parent
KEY = keys.from_seed(bytes(range(32)))
MARKED_VERSION = 41
BUNDLE = (HERE / "bundle.toml").read_bytes()

ENTRY = replica.Entry(7, 3, replica.Kind.DATA, b"\x00data\xff")
REPLICA: tuple[Any, ...] = (
    replica.RequestVote(9, 8, 7, True, True),
    replica.RequestVote(9, 8, 7, False),
    replica.RequestVoteReply(9, 8, True, False, 2**62, True),
    replica.AppendEntries(9, 8, 7, (ENTRY, replica.Entry(8, 3, replica.Kind.NOOP, b"")), 6, 5),
    replica.AppendEntriesReply(9, False, 8, 7, 6, 5, 4, True),
    replica.InstallSnapshot(9, 8, 7, 6, 5, b"piece", 4),
    replica.InstallSnapshotReply(9, 8, 7, True, 6, 5, False),
    replica.ConfirmIncarnation(9, 8),
    replica.TimeoutNow(9),
    replica.ConfirmVote(9),
    replica.VoteConfirmation(9, 8),
)
PEERS: tuple[Any, ...] = (
    peers.Hello("fleet", "n1", "n2", 1234567890123),
    peers.Heartbeat(70000),
    peers.Data(3, 9, b"x"),
)
ECHO: tuple[Any, ...] = (ping.PingRequest(5, "hello"), ping.PingReply(5, "n2", "hello"))
FORWARDED: tuple[Any, ...] = (
    protocol.ForwardRequest(5, b"command"),
    protocol.ForwardRequest(5, b"", ["n1", "n2"], ["n3"]),
    protocol.ForwardReply(5, "not-leader", b"result", 9),
)
SIGNED: tuple[gossip.Alive | gossip.Left | gossip.HealthReport, ...] = tuple(
    gossip.sign_rumour(rumour, KEY)
    for rumour in (
        gossip.Alive("n1", "127.0.0.1", 7001, 1234567890123, 4, bytes(8), bytes(64)),
        gossip.Left("n1", 1234567890123, 5, bytes(8), bytes(64)),
        gossip.HealthReport(
            "n1", 1234567890123, 1234567890999, [gossip.EngineObservation(70, 0, 1.5, 0.25, 12.0)], bytes(8), bytes(64)
        ),
    )
)
BODIES: tuple[Any, ...] = (
    gossip.Ping(5, "n2"),
    gossip.Ack(5),
    gossip.Nack(5),
    gossip.PingRequest(5, "n3"),
    gossip.Gossip(),
    gossip.Digest([1, 2**40], True),
    gossip.Fetch([0, 63]),
)
RUMOURS = [*SIGNED, gossip.Suspect("n2", 1234567890124, 6), gossip.Dead("n3", 1234567890125, 7)]
PAYLOADS = tuple(gossip.Payload("n1", 1234567890123, 12, 1234567890777, body, RUMOURS) for body in BODIES)

VERDICT, CLOSED = records.Verdict(2, "n1", 11, False, "no such class"), records.Closed(2, "n1", 11)
COMMAND_BODIES: tuple[Any, ...] = (
    commands.Put("key", b"value", 4),
    commands.Put("key", b"value"),
    commands.Delete("key"),
    commands.Settings(3, b"text", False),
    commands.Drain(70, 1234567890123, 5, 6, True),
    commands.Note(70, 1234567890123, "cold", 5, True),
    commands.Level("reduced", "load", 5, True),
    commands.Acquire("lease", "n1", 3000),
    commands.Renew("lease", 9),
    commands.Release("lease", 9),
    commands.Expire("lease", 9, 8),
    records.Propose(1, digest(BUNDLE), BUNDLE, "operator", 1234567890123, "why", 2, True, 3),
    VERDICT,
    records.Close(2),
    CLOSED,
    records.Reports((VERDICT, CLOSED)),
    records.Activate(2, 8),
    records.Abort(2, "too late", 8),
    records.Withdraw(2, "operator", "why"),
    records.Begin("n1", 11, "hold", 3, 2000, 10),
    records.ExpirePermit("n1", 11),
    records.ConfirmExpiry("n1", 9, "n2"),
    records.Forget("n1", True),
)
COMMANDS = (
    *(commands.Command("n1/1", 12, body) for body in COMMAND_BODIES),
    commands.Command("n1/1", 0, commands.Delete("key"), commands.Fence("lease", 9)),
)
APPLIED = (  # commands that put an entry into each table of the state
    commands.Command("n1/1", 1, commands.Put("key", b"value")),
    commands.Command("n1/1", 2, commands.Settings(1, b"text")),
    commands.Command("n1/1", 3, commands.Drain(70, 1234567890123, 5, 6)),
    commands.Command("n1/1", 4, commands.Note(70, 1234567890123, "cold", 5)),
    commands.Command("n1/1", 5, commands.Level("reduced", "load", 5)),
    commands.Command("n2/1", 1, commands.Acquire("lease", "n2", 3000)),
    commands.Command("n1/1", 6, records.Begin("n1", 11, "serve", 1)),
    commands.Command("n2/1", 2, records.Begin("n2", 12, "hold", 1, 2000)),
    commands.Command("n1/1", 7, records.Propose(0, digest(BUNDLE), BUNDLE, "operator", 1234567890123, "why")),
    commands.Command("n1/1", 8, records.Verdict(1, "n1", 11, True)),
    commands.Command("n2/1", 3, records.Verdict(1, "n2", 12, True)),
    commands.Command("n1/1", 9, records.Close(1)),
    commands.Command("n2/1", 4, records.Closed(1, "n2", 12)),
    commands.Command("n1/1", 10, records.ExpirePermit("n2", 12)),
    commands.Command("n1/1", 11, records.ConfirmExpiry("n2", 14, "n1")),
)
RESULT = CommandResult(False, 9, 8, "why")


def messages() -> Iterator[tuple[str, Any, bytes]]:
    """Yield each message: its name (`codec/number`), the sample and its encoded bytes."""
    for codec, samples, encode in (
        ("replica", REPLICA, replica.encode),
        ("peers", PEERS, peers.encode),
        ("echo", ECHO, msgspec.msgpack.encode),
        ("forwarded", FORWARDED, protocol.encode),
        ("gossip", PAYLOADS, lambda payload: gossip.encode(payload, KEY)),
        ("command", COMMANDS, commands.encode),
        ("result", (RESULT,), commands.encode_result),
        ("members", (("n1", "n2"),), replica.members_data),
        ("learners", (("n3",),), lambda learners: replica.members_data(("n1", "n2"), learners)),
        ("frame", (b"payload",), frames.encode),
    ):
        for number, sample in enumerate(samples):
            yield f"{codec}/{number}", sample, encode(sample)


def state() -> State:
    """A replicated state with an entry in each table."""
    replicated = State()
    for index, command in enumerate(APPLIED, 1):
        result = replicated.apply(index, commands.encode(command))
        if not result.ok:
            raise AssertionError(f"the state rejected {command}: {result.reason}")
    return replicated


def write_replica(folder: Path) -> None:
    """Write the directory of a replica member: a log with terms, votes and entries, and a snapshot."""
    storage = Storage(folder)
    storage.open()
    entries = [
        replica.Entry(index, 2, replica.Kind.DATA, commands.encode(command)) for index, command in enumerate(APPLIED, 1)
    ]
    storage.save((2, "n1"), entries[:8], 3)
    storage.save((3, "n2"), entries[8:], 12)
    storage.save(None, [replica.Entry(16, 3, replica.Kind.MEMBERS, replica.members_data(("n1", "n2"), ("n3",)))], 15)
    meta = storage.snapshot_files.write(15, 2, ("n1", "n2"), state().dump(), ("n3",))
    storage.adopt_snapshot(meta)
    storage.close()


def write_marker(folder: Path) -> None:
    """Write the marker of the rules version that a gateway has closed for."""
    folder.mkdir()
    PersistedMarker(folder, Disk()).write(MARKED_VERSION)


def write_gossip(folder: Path) -> None:
    """Write the file in which an instance stores the gossip members that it knows."""
    folder.mkdir()
    alive = [rumour for rumour in SIGNED if isinstance(rumour, gossip.Alive)]
    persisted_state.save(folder / "members", "n1", 1234567890123, alive, {"n2": 0.75})


WRITERS = {"replica": write_replica, "marker": write_marker, "gossip": write_gossip}


def main(target: Path) -> None:
    """Write all samples into a directory."""
    lines = {name: data.hex() for name, _, data in messages()}
    (target / "messages.json").write_bytes(msgspec.json.format(msgspec.json.encode(lines), indent=1) + b"\n")
    for name, write in WRITERS.items():
        write(target / name)


if __name__ == "__main__":
    main(Path(sys.argv[1]))
