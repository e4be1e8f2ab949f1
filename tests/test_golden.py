"""Tests that messages, stored files and rules of commit 6fdac00 are read, and are still encoded byte for byte."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, get_args

import msgspec
import pytest

from tealwing.gossip import messages as gossip
from tealwing.gossip import persisted_state
from tealwing.peers import frames, ping
from tealwing.peers import messages as peers
from tealwing.replica import commands
from tealwing.replica import messages as replica
from tealwing.replica.forwarding import protocol
from tealwing.replica.state import State
from tealwing.replica.storage.disk import Disk
from tealwing.replica.storage.store import Storage, verify
from tealwing.rollout.effects.persisted_marker import PersistedMarker
from tealwing.rules import bundle, records
from tests.golden import samples

GOLDEN: dict[str, str] = msgspec.json.decode((samples.HERE / "messages.json").read_bytes())
MESSAGES = {name: (sample, data) for name, sample, data in samples.messages()}
BUNDLE_DIGEST = "289a05239b2b47313f02d07cc857d5d9"


def _verify_signature(name: str, key: bytes, data: bytes, signature: bytes) -> bool:
    return name == "n1" and key == samples.KEY.key_id and signature == samples.KEY.sign(data)


def _entry(data: bytes) -> replica.Entry:
    return replica.Entry(1, 1, replica.Kind.MEMBERS, data)


DECODERS: dict[str, Callable[[bytes], Any]] = {
    "replica": replica.decode,
    "peers": peers.decode,
    "echo": msgspec.msgpack.Decoder(ping.PingRequest | ping.PingReply).decode,
    "forwarded": protocol.decode,
    "gossip": lambda data: gossip.decode(data, _verify_signature),
    "command": commands.decode,
    "result": commands.decode_result,
    "members": lambda data: replica.voters_of(_entry(data)),
    "learners": lambda data: replica.learners_of(_entry(data)),
    "frame": lambda data: frames.Parser().feed(data)[0],
}


def test_each_message_type_has_a_sample() -> None:
    assert set(GOLDEN) == set(MESSAGES)
    unions: tuple[tuple[Any, tuple[Any, ...]], ...] = (
        (replica.Message, samples.REPLICA),
        (peers.Message, samples.PEERS),
        (gossip.Body, samples.BODIES),
        (gossip.Rumour, tuple(samples.RUMOURS)),
        (commands.Body, samples.COMMAND_BODIES),
    )
    for union, examples in unions:
        assert set(get_args(union)) == {type(sample) for sample in examples}


@pytest.mark.parametrize("name", GOLDEN)
def test_message_is_encoded_as_in_reference_commit(name: str) -> None:
    assert MESSAGES[name][1].hex() == GOLDEN[name]


@pytest.mark.parametrize("name", GOLDEN)
def test_reference_message_is_decoded_to_its_sample(name: str) -> None:
    decode = DECODERS[name.partition("/")[0]]
    assert decode(bytes.fromhex(GOLDEN[name])) == MESSAGES[name][0]


@pytest.mark.parametrize("name", samples.WRITERS)
def test_stored_files_match_reference_files(name: str, tmp_path: Path) -> None:
    samples.WRITERS[name](tmp_path / name)
    before = {path.name: path.read_bytes() for path in (samples.HERE / name).iterdir()}
    assert before and {path.name: path.read_bytes() for path in (tmp_path / name).iterdir()} == before


def test_reference_log_and_snapshot_are_read(tmp_path: Path) -> None:
    for path in (samples.HERE / "replica").iterdir():
        (tmp_path / path.name).write_bytes(path.read_bytes())
    assert verify(tmp_path) == []
    storage = Storage(tmp_path)
    stored = storage.open()
    assert (stored.term, stored.vote, stored.commit, stored.truncated_bytes, stored.fresh) == (3, "n2", 15, 0, False)
    assert (stored.snapshot.index, stored.snapshot.term) == (15, 2)
    assert (stored.snapshot.members, stored.snapshot.learners) == (("n1", "n2"), ("n3",))
    assert [entry.index for entry in stored.log] == [16]
    assert replica.learners_of(stored.log[0]) == ("n3",)
    state = State()
    state.load(15, storage.snapshot_files.body(stored.snapshot))
    storage.close()
    assert state.digest() == samples.state().digest() and all(state.counts().values())


def test_reference_marker_is_read() -> None:
    assert PersistedMarker(samples.HERE / "marker", Disk()).read() == samples.MARKED_VERSION


def test_reference_gossip_file_is_read() -> None:
    loaded = persisted_state.load(samples.HERE / "gossip" / "members", "n1")
    assert loaded is not None and loaded.boot == 1234567890123 and loaded.trust == {"n2": 0.75}
    assert loaded.members == [rumour for rumour in samples.SIGNED if isinstance(rumour, gossip.Alive)]


def test_reference_bundle_is_read_with_its_digest() -> None:
    assert records.digest(samples.BUNDLE) == BUNDLE_DIGEST
    assert msgspec.to_builtins(bundle.parse(samples.BUNDLE)) == {
        "levels": "",
        "attempts": {"most": 2},
        "classes": {"lookup": {"aim-ms": 500, "deadline-ms": 2500, "effect": "keyed", "worth": 1.5}},
        "tenants": {"public": {"share": 0.25}},
        "routes": ({"first": 1, "last": 40, "sites": ("bloemfontein", "upington")},),
    }


def test_adapter_answers_recorded_batches_as_in_reference_commit() -> None:
    batches = (samples.HERE / "adapter-input.bin").read_bytes()
    done = subprocess.run([sys.executable, "-m", "tealwing.adapter"], input=batches, capture_output=True, timeout=60)
    assert done.returncode == 0 and done.stdout == (samples.HERE / "adapter-output.bin").read_bytes()
