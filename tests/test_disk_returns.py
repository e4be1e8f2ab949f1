"""Return of a member to service after disk faults, without loss of acknowledged state, also after a power loss.

The tests guard against a member that stays out of service until its process ends: after one failed write or sync of its
log the contents of the disk are unknown, so the member wrote nothing more and had no way to return. The log then showed
`replica_broken` with the failed write and no event of the replica until the next start, while `fault.disk` reported
that the disk had failed only once.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from tealwing.fleet.peering import Peering
from tealwing.lab.client import Session
from tealwing.lab.faults import scenario
from tealwing.lab.models.consensus import Budget, Consensus, World
from tealwing.lab.models.explore import explore, wander
from tealwing.lab.rig import layouts
from tealwing.lab.rig.configuration import Layout
from tealwing.lab.rig.ports import free_port
from tealwing.lab.rig.trial import Trial
from tealwing.peers.clock import Clock
from tealwing.peers.errors import LinkError
from tealwing.peers.link import Link
from tealwing.peers.plan import Plan as PeersPlan
from tealwing.replica import commands as c
from tealwing.replica.messages import Entry, Kind
from tealwing.replica.plan import ReplicaPlan
from tealwing.replica.raft import Ready, Role, SnapshotMeta
from tealwing.replica.service.node import OutcomeUnknownError, Replica, UnavailableError
from tealwing.replica.storage import records
from tealwing.replica.storage import store as stored
from tealwing.replica.storage.disk import Disk
from tealwing.replica.storage.durability import MAX_PAUSE, Acknowledged, ReopenBackoff
from tealwing.replica.storage.records import AcknowledgedDataLostError, StorageError, StoredState
from tealwing.replica.storage.store import Storage
from tealwing.rollout.effects.persisted_marker import PersistedMarker
from tests.lossy_disk import LossyDisk
from tests.test_peers import until

# s within which a fleet whose disks work again accepts commands, with a long pause between two attempts to reopen
RECOVERY_TIME = 10.0
WAIT = 2.0  # s for one command
OPERATIONS = 56  # disk operations of Script, and a few more


def entry(index: int, term: int = 1) -> Entry:
    return Entry(index, term, Kind.DATA, b"%d of %d" % (index, term) + b"." * 40)


@dataclass
class Script:
    """Storage operations of a member: votes, entries, new segments, local snapshots and a received snapshot."""

    storage: Storage
    disk: LossyDisk
    folder: Path
    acknowledged: Acknowledged = field(default_factory=Acknowledged)
    entries: dict[int, Entry] = field(default_factory=dict)
    losses: int = 0

    def run(self) -> None:
        self.until_done(self.open, Acknowledged())
        for index in range(1, 9):
            self.save((1, "a"), [entry(index)], index - 1)
        self.save((2, "b"), [entry(7, 2)])  # from the leader of term 2: replaces entries 7 and 8
        self.snapshot(5)
        self.save((2, "b"), [entry(8, 2), entry(9, 2)])
        self.receive(12, 2)
        self.save((3, ""), [entry(13, 3)])
        self.storage.close()

    def open(self) -> None:
        """Open the storage anew, as each start of a process does."""
        self.storage = Storage(self.folder / "replica", self.disk)
        self.storage.open()

    def save(self, hard: tuple[int, str], entries: list[Entry], commit: int = 0) -> None:
        self.entries |= {saved.index: saved for saved in entries}
        target = Acknowledged(*hard, entries[-1].index, entries[-1].term)
        self.until_done(lambda: self.storage.save(hard, entries, commit), target)

    def until_done(self, action: Callable[[], object], target: Acknowledged) -> None:
        """Repeat an action until it succeeds, reopening after each fault; check what a power loss would leave."""
        for _ in range(20):
            try:
                action()
            except OSError:
                self.check(target)
                if action != self.open:
                    self.reopen(target)
            else:
                self.acknowledged = target
                self.check(target)
                return
        raise AssertionError("the action failed 20 times")

    def reopen(self, target: Acknowledged) -> None:
        for _ in range(20):
            try:
                self.storage.reopen(allow_loss=False)
            except OSError:
                self.check(target)
            else:
                self.check(target)
                return
        raise AssertionError("reopening the storage failed 20 times")

    def snapshot(self, index: int) -> None:
        meta = None
        while meta is None:
            try:
                meta = self.storage.snapshot_files.write(index, 1, ("a", "b"), [b"body"])
            except OSError:
                self.check(self.acknowledged)
        self.storage.adopt_snapshot(meta)

    def receive(self, index: int, term: int) -> None:
        """Receive and install a snapshot of another member in two chunks."""
        source = Storage(self.folder / "source")
        source.open()
        meta = source.snapshot_files.write(index, term, ("a", "b"), [b"body of another" * 10])
        data = source.snapshot_files.read_chunk(meta, 0)
        assert data is not None
        half = len(data) // 2

        def install() -> None:
            self.storage.snapshot_files.write_chunk(index, term, 0, data[:half])
            self.storage.snapshot_files.write_chunk(index, term, half, data[half:])
            assert self.storage.install_snapshot(index, term) is not None

        self.until_done(install, Acknowledged(2, "b", index, term))

    def check(self, target: Acknowledged) -> None:
        """Check that a start after a power loss now finds the acknowledged state, or that of the action in progress."""
        self.losses += 1
        found = Storage(self.disk.after_power_loss(self.folder / f"loss-{self.losses}")).open()
        assert self.acknowledged.is_covered_by(found) or target.is_covered_by(found), (
            self.acknowledged,
            target,
            found,
        )
        for stored_entry in found.log:
            if stored_entry.index <= self.acknowledged.last_index and self.acknowledged == target:
                assert stored_entry == self.entries[stored_entry.index]


@pytest.fixture
def small_files(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(stored, "SEGMENT_BYTES", 300)
    monkeypatch.setattr(records, "WRITE_BATCH_BYTES", 100)


def run_script(tmp_path: Path, first: int, count: int, written: float) -> LossyDisk:
    disk = LossyDisk()
    disk.fail_at(first, count, written)
    script = Script(Storage(tmp_path / "replica", disk), disk, tmp_path)
    try:
        script.run()
        found = Storage(tmp_path / "replica").open()
        assert found.snapshot.index == 12 and found.log == [entry(13, 3)] and (found.term, found.vote) == (3, "")
    finally:
        disk.close()
    return disk


@pytest.mark.usefixtures("small_files")
@pytest.mark.parametrize("written", [0.0, 0.5, 1.0])
@pytest.mark.parametrize("first", range(1, OPERATIONS + 1))
def test_acknowledged_state_survives_failure_of_any_disk_operation(first: int, written: float, tmp_path: Path) -> None:
    run_script(tmp_path, first, 1, written)


@pytest.mark.usefixtures("small_files")
@pytest.mark.parametrize("first", range(1, OPERATIONS + 1, 3))
def test_acknowledged_state_survives_failures_during_reopen(first: int, tmp_path: Path) -> None:
    run_script(tmp_path, first, 4, 0.5)


@pytest.mark.usefixtures("small_files")
def test_injected_failures_cover_all_operations_of_the_script(tmp_path: Path) -> None:
    assert run_script(tmp_path, 0, 0, 0.0).operations <= OPERATIONS


def test_lossy_disk_loses_data_if_failed_sync_is_only_retried(tmp_path: Path) -> None:
    # shows that LossyDisk loses data as documented, as the tests above depend on it to be able to fail
    disk = LossyDisk()
    with (tmp_path / "file").open("wb") as file:
        disk.write(file, b"x" * 10)
        disk.fail_at(disk.operations + 1)
        with pytest.raises(OSError, match="Input/output"):
            disk.sync(file)
        disk.sync(file)
    disk.sync_directory(tmp_path)
    assert (disk.after_power_loss(tmp_path / "loss") / "file").read_bytes() == bytes(10)
    disk.close()


@pytest.mark.parametrize("what", ["vote", "entries", "all"])
def test_reopen_accepts_missing_acknowledged_state_only_if_loss_is_allowed(what: str, tmp_path: Path) -> None:
    storage = Storage(tmp_path / "replica")
    storage.open()
    storage.save((1, ""), [entry(1)])
    older = {path.name: path.read_bytes() for path in (tmp_path / "replica").iterdir()}
    storage.save((1, "b") if what == "vote" else None, [entry(2)] if what == "entries" else [])
    for path in (tmp_path / "replica").iterdir():
        path.unlink()
    for name, data in older.items() if what != "all" else ():
        (tmp_path / "replica" / name).write_bytes(data)
    for _ in range(2):  # the acknowledged state is kept between attempts
        with pytest.raises(AcknowledgedDataLostError, match="restore the directory"):
            storage.reopen(allow_loss=False)
    found = storage.reopen(allow_loss=True)
    assert [found_entry.index for found_entry in found.log] == ([] if what == "all" else [1])


def test_reopen_does_not_recreate_missing_directory(tmp_path: Path) -> None:
    storage = Storage(tmp_path / "replica")
    storage.open()
    storage.save((1, "a"), [entry(1)])
    (tmp_path / "replica").rename(tmp_path / "elsewhere")
    with pytest.raises(OSError, match="replica"):
        storage.reopen(allow_loss=True)
    (tmp_path / "elsewhere").rename(tmp_path / "replica")
    assert storage.reopen(allow_loss=False).log == [entry(1)]


def test_reopen_does_not_truncate_damaged_durable_records(tmp_path: Path) -> None:
    storage = Storage(tmp_path)
    storage.open()
    storage.save((1, "a"), [entry(1)])
    (path,) = tmp_path.glob("log-*.wal")
    data = path.read_bytes()
    path.write_bytes(data[:-1] + b"?")
    with pytest.raises(StorageError, match="damaged"):
        storage.reopen(allow_loss=True)
    assert path.read_bytes() == data[:-1] + b"?"


def test_acknowledged_state_is_covered_by_later_terms_and_snapshots() -> None:
    acknowledged = Acknowledged(2, "b", 5, 2)
    assert acknowledged.is_covered_by(StoredState(term=3, snapshot=SnapshotMeta(6, 2)))
    assert not acknowledged.is_covered_by(StoredState(term=2, vote="c", snapshot=SnapshotMeta(6, 2)))
    assert not acknowledged.is_covered_by(StoredState(term=2, vote="b", snapshot=SnapshotMeta(4, 2), log=[entry(5, 1)]))
    assert acknowledged.is_covered_by(StoredState(term=2, vote="b", snapshot=SnapshotMeta(4, 2), log=[entry(5, 2)]))


def test_reopen_backoff_grows_to_its_maximum() -> None:
    backoff = ReopenBackoff(random.Random(1))
    pauses = [backoff.next_pause() for _ in range(20)]
    assert pauses[0] < pauses[3] < pauses[6] and max(pauses) <= MAX_PAUSE and min(pauses[10:]) >= MAX_PAUSE / 2


class Fleet:
    """Members in one process, each with a disk in which faults can be injected."""

    def __init__(self, folder: Path, names: str, stale: int = 0, learners: str = "") -> None:
        addresses = tuple((name, ("127.0.0.1", free_port())) for name in names + learners)
        self.replicas: dict[str, Replica] = {}
        self.links: dict[str, Link] = {}
        # applied indices, as reported to listeners
        self.applied: dict[str, list[int]] = {name: [] for name in names + learners}
        for name in names + learners:
            peers = PeersPlan("f", name, addresses, learners=tuple(learners))
            link = self.links[name] = Link(peers)
            plan = ReplicaPlan(str(folder / name), heartbeat_interval=0.05, election_timeout=0.3, max_stale_disks=stale)
            self.replicas[name] = Replica(plan, link, Clock(), Disk())
        for name, replica in self.replicas.items():
            replica.on_applied(lambda index, _, __, indices=self.applied[name]: indices.append(index))  # type: ignore[misc]
            replica.start()
            self.links[name].start()

    def leader(self) -> str:
        deadline = time.monotonic() + RECOVERY_TIME
        while time.monotonic() < deadline:
            for name, replica in self.replicas.items():
                if replica.core.role is Role.LEADER and not replica.broken:
                    return name
            time.sleep(0.02)
        raise AssertionError(f"no member became leader within {RECOVERY_TIME:g} s")

    def put(self, key: str, at: str) -> bool:
        try:
            return self.replicas[at].write(c.Command("client", len(key) and int(key), c.Put(key, b"v")), WAIT).ok
        except (UnavailableError, OutcomeUnknownError):
            return False

    def until_put(self, key: str, at: str) -> None:
        deadline = time.monotonic() + RECOVERY_TIME
        while not self.put(key, at):
            assert time.monotonic() < deadline, {name: member.broken for name, member in self.replicas.items()}

    def until_same(self) -> None:
        deadline = time.monotonic() + RECOVERY_TIME
        while len({replica.digest() for replica in self.replicas.values()}) > 1:
            assert time.monotonic() < deadline, {name: member.status() for name, member in self.replicas.items()}
            time.sleep(0.05)

    def stop(self) -> None:
        for replica in self.replicas.values():
            replica.stop()
        for link in self.links.values():
            link.stop()


@contextmanager
def fleet(folder: Path, names: str = "abc", stale: int = 0, learners: str = "") -> Iterator[Fleet]:
    found = Fleet(folder, names, stale, learners)
    try:
        yield found
    finally:
        found.stop()


@pytest.mark.parametrize("stale", [0, 1])
@pytest.mark.parametrize("who", ["leader", "follower", "majority", "all"])
@pytest.mark.parametrize("fault", ["full", "short", "fsync"])
def test_fleet_and_members_recover_from_disk_faults(fault: str, who: str, stale: int, tmp_path: Path) -> None:
    with fleet(tmp_path, stale=stale) as members:
        leader = members.leader()
        others = [name for name in members.replicas if name != leader]
        members.until_put("1", leader)
        hit = {"leader": [leader], "follower": others[:1], "majority": others, "all": [leader, *others]}[who]
        for name in hit:
            members.replicas[name].disk.inject_fault(fault, 2)
        for number in range(2, 6):
            members.until_put(str(number), others[-1])
        for name in hit:
            assert members.replicas[name].disk.failed >= 1
            members.until_put("6" if name == hit[0] else "7", name)
        members.until_same()
        for indices in members.applied.values():
            assert indices == sorted(set(indices))  # no entry is applied twice
        kept = members.replicas[leader].state.tables["values"]
        assert {str(number) for number in range(1, 7)} <= set(kept)


def test_learner_recovers_from_disk_fault(tmp_path: Path) -> None:
    with fleet(tmp_path, learners="d") as members:
        members.until_put("1", members.leader())
        members.until_same()
        members.replicas["d"].disk.inject_fault("fsync", 3)
        for number in range(2, 6):
            members.until_put(str(number), members.leader())
        members.until_same()
        assert members.replicas["d"].disk.failed == 3


def test_member_out_of_service_loses_leadership_and_reports_remedy(tmp_path: Path) -> None:
    with fleet(tmp_path) as members:
        leader = members.leader()
        members.until_put("1", leader)
        leadership_changes: list[bool] = []
        broken = members.replicas[leader]
        broken.on_leadership(leadership_changes.append)
        broken.disk.inject_fault("full", 1_000_000)
        members.put("2", leader)
        deadline = time.monotonic() + RECOVERY_TIME
        while not broken.broken:
            assert time.monotonic() < deadline
            time.sleep(0.02)
        with pytest.raises(UnavailableError, match="out of service"):
            broken.read_index(WAIT)
        assert broken.status()["role"] == "out" and leadership_changes == [False]
        another = next(name for name in members.replicas if name != leader)
        members.until_put("3", another)  # the other members still accept commands
        deadline = time.monotonic() + RECOVERY_TIME
        while "resumes by itself" not in broken.broken:
            assert time.monotonic() < deadline, broken.broken
            time.sleep(0.02)
        broken.disk.inject_fault("none", 0)
        members.until_put("4", leader)
        members.until_same()


class SendsAfterFailedWrite(Consensus):
    """A mutation of the shell: messages that depend on a failed write are sent all the same."""

    def fail(self, world: World, name: str, ready: Ready) -> World:
        world.fault = None
        world.network |= {(name, to, message) for to, message in ready.messages if to != name}
        return self._settle(world, name)


def test_core_is_safe_in_exhaustive_exploration_with_failed_writes() -> None:
    found = explore(Consensus(Budget(timeouts=2, beats=1, proposals=1, crashes=0, faults=1, twice=0)), 6)
    assert found.is_exhaustive and found.broken == "" and found.states > 5_000
    twice = Budget(timeouts=2, beats=0, proposals=0, crashes=1, faults=2, twice=0)
    found = explore(Consensus(twice, stale=1), 6)
    assert found.is_exhaustive and found.broken == "" and found.states > 2_000


def test_model_check_finds_messages_sent_after_failed_write() -> None:
    found = explore(SendsAfterFailedWrite(Budget(timeouts=2, beats=0, proposals=0, crashes=1, faults=1, twice=0)), 7)
    assert "both lead term 1" in found.broken and any("its write fails" in step for step in found.trace)


def test_core_is_safe_in_random_walks_with_failed_writes() -> None:
    walks = Budget(timeouts=12, beats=30, proposals=8, crashes=2, faults=6, twice=3, hands=2)
    found = wander(Consensus(walks, names="abc"), 60, 120, 1)
    assert found.broken == "" and found.steps > 4_000


@pytest.mark.trial
def test_statements_are_served_while_disks_of_a_majority_fail() -> None:
    text = b"/* op=lookup,call=%016x,ttl=3000,org=graan-koop,work=2.0,heap_mb=4 */ SELECT a FROM s_1.t"
    with Trial(scenario.load("power-loss"), 3, 5.0, 1, layout=Layout(layouts.SECTIONS["power"], 2)) as trial:
        trial.start()
        callers = {name: trial.caller(name) for name in trial.processes}
        for name in ("n0", "n1"):
            callers[name].call("fault.disk", fault="fsync", count=1_000_000)
        until(lambda: all(callers[name].call("replica.status")["role"] == "out" for name in ("n0", "n1")))
        listen = trial.processes["n0"].address("listen")
        assert listen is not None
        for call in range(20):
            assert Session(listen).query(text % call, 5.0).outcome == "served"
        reply = callers["n0"].call("replica.get", key="k", wait_s=0.5)
        assert reply["word"] == "unavailable" and "resumes by itself" in reply["why"]
        for name in ("n0", "n1"):
            callers[name].call("fault.disk", fault="none", count=0)
        # if both counted as unconfirmed after their return, they would wait for each other while the third member leads
        until(lambda: all(caller.call("replica.recovery")["phase"] == "member" for caller in callers.values()))
        assert not any(caller.call("replica.status")["broken"] for caller in callers.values())
        assert trial.fault_lines() == []


@pytest.mark.parametrize("operation", range(1, 4))
def test_storage_opens_completely_after_failed_open(operation: int, tmp_path: Path) -> None:
    disk = LossyDisk()
    storage = Storage(tmp_path / "replica", disk)
    storage.open()
    storage.save((1, "a"), [entry(1)])
    storage.close()
    disk.fail_at(disk.operations + operation, 1, 0.5)
    with pytest.raises(OSError, match=r"No space left|Input/output"):
        Storage(tmp_path / "replica", disk).open()
    assert Storage(tmp_path / "replica", disk).open().log == [entry(1)]
    assert Storage(disk.after_power_loss(tmp_path / "loss")).open().log == [entry(1)]
    disk.close()


def test_start_error_names_directory_that_cannot_be_created(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("not a directory")
    addresses = (("a", ("127.0.0.1", free_port())),)
    plan = ReplicaPlan(str(tmp_path / "file" / "replica"))
    with pytest.raises(LinkError, match="file/replica: .*Not a directory"):
        Peering(PeersPlan("f", "a", addresses), plan, lambda version, settings: None)


def test_marker_write_is_durable_once_reported_after_failed_attempts(tmp_path: Path) -> None:
    for number in range(1, 5):
        disk = LossyDisk()
        folder = tmp_path / f"{number}"
        folder.mkdir()
        marker = PersistedMarker(folder, disk)
        marker.write(1)
        disk.fail_at(disk.operations + number)
        with pytest.raises(OSError, match=r"No space|Input/output|Read-only"):
            marker.write(2)
        assert marker.number == 1  # the failed write is not reported
        marker.write(2)
        assert PersistedMarker(disk.after_power_loss(tmp_path / f"loss-{number}"), Disk()).read() == 2
        disk.close()
