"""The section `rules` of the operators' file, and the persisted marker of a rollout."""

from __future__ import annotations

from pathlib import Path

import pytest

from tealwing.conf import reader
from tealwing.conf.reader import ConfError
from tealwing.replica.storage.disk import Disk
from tealwing.rollout.effects.persisted_marker import FILE_NAME, MarkerDamagedError, PersistedMarker
from tealwing.rollout.plan import Plan

PEERS = "peers\n    name n0\n    member n0 127.0.0.1:1\n"
REPLICA = "replica\n    folder data\n"


def read(folder: Path, text: str) -> Plan:
    path = folder / "tealwing.conf"
    path.write_text(text)
    found = reader.read(str(path)).records["rules"]
    assert isinstance(found, Plan)
    return found


def test_rules_section_has_defaults(tmp_path: Path) -> None:
    assert read(tmp_path, PEERS + REPLICA + "rules\n    lost-touch serve\n") == Plan()


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("rules\n    lost-touch serve\n", "no section peers"),
        (PEERS + "rules\n    lost-touch serve\n", "no section replica"),
        (PEERS + REPLICA + "    stale 1\nrules\n    lost-touch serve\n", "serve, with stale 1"),
        (PEERS + REPLICA + "    stale 1\nrules\n    limit 9s\n", "hold; or stale 0"),
        (PEERS + REPLICA + "rules\n    sabotage early-open\n", "`faults on`"),
        (PEERS + "    faults on\n" + REPLICA + "rules\n    sabotage gently\n", "gently"),
        (PEERS + REPLICA + "rules\n    limit 1s\n    patience 2s\n", "more than patience, 2s"),
        (PEERS + REPLICA + "rules\n    lost-touch hold\n    permit 5s\n", "a permit's end"),
    ],
)
def test_contradictory_rules_section_is_rejected_with_allowed_values(text: str, message: str, tmp_path: Path) -> None:
    with pytest.raises(ConfError, match=message):
        read(tmp_path, text)


def test_marker_survives_restart_and_failed_writes(tmp_path: Path) -> None:
    disk = Disk()
    marker = PersistedMarker(tmp_path, disk)
    assert marker.read() == 0
    marker.write(7)
    for fault in ("fsync", "short", "full"):
        disk.inject_fault(fault, 1)
        with pytest.raises(OSError):
            marker.write(8)
        assert PersistedMarker(tmp_path, disk).read() == 7
    marker.write(8)
    assert PersistedMarker(tmp_path, disk).read() == 8
    assert [path.name for path in tmp_path.iterdir()] == [FILE_NAME]


@pytest.mark.parametrize("damage", [b"", b"closed-for 8", b"\x00" * 60])
def test_damaged_marker_is_reported_with_remedy(damage: bytes, tmp_path: Path) -> None:
    PersistedMarker(tmp_path, Disk()).write(7)
    (tmp_path / FILE_NAME).write_bytes(damage)
    with pytest.raises(MarkerDamagedError, match="holds all requests until the log shows"):
        PersistedMarker(tmp_path, Disk()).read()
