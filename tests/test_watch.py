"""The coordinator watch: the reasons of its ends, updates that fail, and settings that change during a watch."""

from __future__ import annotations

import contextlib
import dataclasses
import json
import logging
import queue
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from queue import SimpleQueue
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tealwing import interface as api
from tealwing import log, wire
from tealwing.admin.metrics import Metrics
from tealwing.config import load
from tealwing.coordinator import updates
from tealwing.coordinator import watch as watch_module
from tealwing.coordinator.backoff import SilenceLimit
from tealwing.coordinator.watch import WatchClient, WatchEnd
from tealwing.gateway import daemon as daemon_module
from tealwing.gateway.daemon import Daemon
from tealwing.policy import Gateway
from tests.build import make_settings
from tests.peers import LIMIT, SETTINGS, event, member
from tests.test_operations import GET, ask

SHORT = 0.3  # s of silence that ends a watch, where a test waits for it
LONG = 60.0  # s of a limit that a test must not reach


class LogRecorder(logging.Handler):
    """Records the logged events in order."""

    def __init__(self) -> None:
        super().__init__()
        self.found: queue.Queue[tuple[str, dict[str, Any]]] = queue.Queue()

    def emit(self, record: logging.LogRecord) -> None:
        self.found.put((record.msg, getattr(record, "fields", {})))

    def next(self, name: str, **having: Any) -> dict[str, Any]:
        """Return the fields of the next event with that name and those fields; `skipped` names the events before it."""
        until = time.monotonic() + LIMIT  # for the whole call, however many other events come
        self.skipped: list[str] = []
        while True:
            found, fields = self.found.get(timeout=max(0.0, until - time.monotonic()))
            if found == name and having.items() <= fields.items():
                return fields
            self.skipped.append(found)

    def wait_for_update(self, index: int) -> list[str]:
        """Wait until the update of that index is applied; return the names of the events logged before it."""
        self.next("engine_list", index=index)
        return self.skipped

    def rest(self, name: str) -> list[dict[str, Any]]:
        """Return the fields of all events with that name that are logged so far."""
        found = []
        while not self.found.empty():
            one, fields = self.found.get()
            found += [fields] if one == name else []
        return found


@pytest.fixture
def log_events() -> Iterator[LogRecorder]:
    log_events = LogRecorder()
    log.logger.addHandler(log_events)
    yield log_events
    log.logger.removeHandler(log_events)


class Coordinator:
    """A coordinator whose connections are handled by the test."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(LIMIT)

    @property
    def address(self) -> tuple[str, int]:
        host, port = self.listener.getsockname()
        return host, port

    def watch(self) -> tuple[socket.socket, int]:
        """Accept the next watch; return its socket and the index that it follows from."""
        sock, _ = self.listener.accept()
        sock.settimeout(LIMIT)
        text = b""
        while not text.endswith(b"\n"):
            text += sock.recv(64)
        word, index = text.split()
        assert word == b"follow"
        return sock, int(index)


def send_events(sock: socket.socket, *events: dict[str, Any]) -> None:
    sock.sendall(b"".join(json.dumps(one).encode() + b"\n" for one in events))


@pytest.fixture
def coordinator() -> Iterator[Coordinator]:
    coordinator = Coordinator()
    yield coordinator
    coordinator.listener.close()


def accept_update(update: updates.Update) -> None:
    """Accept every update."""


def raise_os_error(update: updates.Update) -> None:
    raise OSError("an internal error that looks like one of the connection")


def send_blanks(sock: socket.socket) -> None:
    """Send blanks without a line end until the gateway closes the connection."""
    with contextlib.suppress(OSError):
        while True:
            sock.sendall(b" ")
            time.sleep(SHORT / 10)


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


ENDS: dict[WatchEnd, Callable[[socket.socket], object]] = {
    WatchEnd.CLOSED: lambda sock: sock.shutdown(socket.SHUT_WR),
    WatchEnd.SILENT: lambda sock: None,
    WatchEnd.MALFORMED: lambda sock: sock.sendall(b"nonsense\n"),
    WatchEnd.GAP: lambda sock: sock.sendall(b'{"index":9}\n'),
    WatchEnd.BROKEN: reset,
    WatchEnd.FAULT: lambda sock: send_events(sock, event(5)),
}


@pytest.mark.parametrize("end", list(ENDS))
def test_every_watch_end_is_logged_once_and_counted_by_reason(
    end: WatchEnd, coordinator: Coordinator, log_events: LogRecorder, monkeypatch: pytest.MonkeyPatch
) -> None:
    # guards against unreported ends: an end of the stream left no log line, and no metric counted the ends of watches
    monkeypatch.setattr(watch_module, "SILENCE_TIMEOUT", (SHORT, SHORT) if end is WatchEnd.SILENT else (LONG, LONG))
    figures = Metrics((), (one.value for one in WatchEnd))
    watch = WatchClient(
        coordinator.address,
        4,
        make_settings(),
        raise_os_error if end is WatchEnd.FAULT else accept_update,
        figures.count_watch_end,
    )
    watch.start()
    sock, index = coordinator.watch()
    assert index == 4
    ENDS[end](sock)
    ended = log_events.next("watch_ended")
    assert ended["reason"] == end.value and ended["index"] == 4 and ended["error"] and ended["age"] >= 0
    assert ("trace" in ended) == (end is WatchEnd.FAULT)
    again, index = coordinator.watch()
    assert index == 4  # the next watch follows from the same event
    assert f"app.watch_ended.{end.value}:1|c".encode() in figures.statsd_lines()
    assert sum(line.endswith(b":1|c") for line in figures.statsd_lines().splitlines()) == 1
    assert not log_events.rest("watch_ended")
    again.close()


def test_failed_connect_ends_the_watch_as_unreached(log_events: LogRecorder) -> None:
    closed = socket.create_server(("127.0.0.1", 0))
    address = closed.getsockname()
    closed.close()
    WatchClient(address, 4, make_settings(), accept_update).start()
    assert log_events.next("watch_ended")["reason"] == "unreached"


def test_coordinator_that_sends_no_complete_line_counts_as_silent(
    coordinator: Coordinator, log_events: LogRecorder, monkeypatch: pytest.MonkeyPatch
) -> None:
    # guards against a limit that each byte restarts: such a coordinator held the watch forever
    monkeypatch.setattr(watch_module, "SILENCE_TIMEOUT", (SHORT, SHORT))
    WatchClient(coordinator.address, 4, make_settings(), accept_update).start()
    sock, _ = coordinator.watch()
    threading.Thread(target=send_blanks, args=(sock,), daemon=True).start()
    assert log_events.next("watch_ended")["reason"] == "silent"
    assert coordinator.watch()[1] == 4


def test_watch_receives_events_of_a_coordinator_with_a_slow_first_line(
    coordinator: Coordinator, log_events: LogRecorder, monkeypatch: pytest.MonkeyPatch
) -> None:
    # fault: the watch never received a line again from a coordinator whose first line took longer than SILENCE_TIMEOUT
    monkeypatch.setattr(watch_module, "SILENCE_TIMEOUT", (SHORT, SHORT))
    WatchClient(coordinator.address, 4, make_settings(), accept_update).start()
    for _ in range(10):
        sock, _ = coordinator.watch()
        time.sleep(1.5 * SHORT)  # before its first line, on each connection
        with contextlib.suppress(OSError):  # the watch may have ended
            send_events(sock, event(5))
            sock.settimeout(SHORT / 3)
            try:
                if not sock.recv(1):
                    continue
            except TimeoutError:
                break
    else:
        raise AssertionError("no event was received on ten connections")
    assert log_events.next("watch_ended")["reason"] == "silent"
    again, index = coordinator.watch()  # it is silent from here on: the regular limit holds again
    assert index == 5
    again.close()


@given(st.lists(st.booleans(), max_size=20))
def test_limit_for_the_first_line_grows_to_its_maximum_until_a_line_comes(lines: list[bool]) -> None:
    limit, silent = SilenceLimit((1.4, 1.8), 1.5, 4.0), 0
    for has_line in lines:
        (limit.reset if has_line else limit.lengthen)()
        silent = 0 if has_line else silent + 1
        assert min(1.4 * 1.5**silent, 4.0) <= limit.first() <= min(1.8 * 1.5**silent, 4.0)
        assert 1.4 <= limit.regular() <= 1.8


def test_moved_watch_connects_to_the_new_coordinator_at_once(coordinator: Coordinator, log_events: LogRecorder) -> None:
    other = Coordinator()
    watch = WatchClient(coordinator.address, 4, make_settings(), accept_update)
    watch.start()
    kept, _ = coordinator.watch()  # kept open: its end might be noticed before the move
    watch.move_to(other.address)
    assert other.watch()[1] == 4
    assert log_events.next("watch_ended")["reason"] == "moved"
    kept.close()
    other.listener.close()


def test_move_does_not_wait_for_the_connect_to_the_old_coordinator(
    coordinator: Coordinator, log_events: LogRecorder, monkeypatch: pytest.MonkeyPatch
) -> None:
    # guards against a socket that a move can't shut down until it is connected
    monkeypatch.setattr(watch_module, "CONNECT_TIMEOUT", LONG)
    full = socket.create_server(("127.0.0.1", 0), backlog=0)  # nothing is accepted, so connects beyond the backlog hang
    queued = [socket.socket() for _ in range(4)]
    for sock in queued:
        sock.setblocking(False)
        sock.connect_ex(full.getsockname())
    watch = WatchClient(full.getsockname(), 4, make_settings(), accept_update)
    watch.start()
    until = time.monotonic() + LIMIT
    while watch._sock is None:
        assert time.monotonic() < until
        time.sleep(0.01)
    begun = time.monotonic()
    watch.move_to(coordinator.address)
    assert coordinator.watch()[1] == 4 and time.monotonic() - begun < LONG / 2
    assert log_events.next("watch_ended")["reason"] == "moved"
    for sock in [full, *queued]:
        sock.close()


# The daemon: an update is applied completely or requested again


def make_daemon(folder: Path, address: tuple[str, int], **changes: Any) -> Daemon:
    """Return a daemon with the cached engine s-1 that watches the coordinator at the address."""
    known = changes.pop("known", {"index": 1, "updates": [event(1, member("s-1", "127.0.0.1:1"))]})
    config = {"name": "n0", "listen": "127.0.0.1:0", "seed": "1f", "coordinator": f"{address[0]}:{address[1]}"}
    path = folder / "config.json"
    path.write_text(json.dumps(config | {"known": known, "settings": SETTINGS | changes}))
    return Daemon(load({"LB_CONFIG": str(path)}))


def engine_health(daemon: Daemon) -> dict[int, api.Health]:
    return {entry.engine: entry.health for entry in daemon.engine_list}


def engine_ports(daemon: Daemon) -> dict[str, int]:
    """Return the ports of the engines in the engine pool, by name."""
    return {found.name: found.port for found, _ in daemon._engines._engines.values()}


ONE, TWO, THREE = (updates.engine_number(name) for name in ("s-1", "s-2", "s-3"))


@pytest.mark.parametrize("step", ["connections", "module", "after"])
def test_update_that_fails_halfway_is_applied_by_the_next_watch(
    step: str, tmp_path: Path, coordinator: Coordinator, log_events: LogRecorder, monkeypatch: pytest.MonkeyPatch
) -> None:
    # guards against an update that counts as applied although the module failed halfway through the list
    daemon, faults = make_daemon(tmp_path, coordinator.address), SimpleQueue[str]()
    faults.put("once")

    def failing(call_original: Callable[..., Any]) -> Callable[..., Any]:
        def call(*args: Any) -> Any:
            if not faults.empty() and faults.get():
                raise ZeroDivisionError
            return call_original(*args)

        return call

    if step == "connections":
        monkeypatch.setattr(daemon._engines, "update", failing(daemon._engines.update))
    elif step == "module":
        monkeypatch.setattr(Gateway, "_apply_engine_list", failing(Gateway._apply_engine_list))
    else:
        whole = daemon._decisions.update_engine_list
        monkeypatch.setattr(daemon._decisions, "update_engine_list", lambda *a: whole(*a) and failing(lambda: True)())
    daemon.start()
    sock, index = coordinator.watch()
    update = event(2, member("s-1", "127.0.0.1:1", phase="removed"), member("s-2", "127.0.0.1:1"))
    send_events(sock, update)
    assert log_events.next("watch_ended")["reason"] == "fault" and index == 1
    sock, index = coordinator.watch()
    assert index == 1  # the update did not count as applied
    send_events(sock, update)
    log_events.wait_for_update(2)
    assert engine_health(daemon) == {TWO: api.Health.READY} and engine_ports(daemon) == {"s-2": 1}
    module = daemon._decisions.module
    assert isinstance(module, Gateway) and [engine.id for engine in module.ready] == [TWO]


def test_repeatedly_failing_update_blocks_neither_its_other_members_nor_later_updates(
    tmp_path: Path, coordinator: Coordinator, log_events: LogRecorder, monkeypatch: pytest.MonkeyPatch
) -> None:
    daemon, take = make_daemon(tmp_path, coordinator.address), Gateway._apply_engine_list

    def failing(self: Gateway, engine_list: api.EngineList) -> None:
        if any(entry.engine == TWO for entry in engine_list.entries):
            raise ZeroDivisionError
        take(self, engine_list)

    monkeypatch.setattr(Gateway, "_apply_engine_list", failing)
    daemon.start()
    events = [
        event(2, member("s-2", "127.0.0.1:1"), member("s-3", "127.0.0.1:1")),
        event(3, member("s-1", "127.0.0.1:1", phase="draining")),
    ]
    for _ in range(daemon_module.MAX_LIST_FAILURES):
        sock, index = coordinator.watch()
        assert index == 1
        send_events(sock, *events)
    log_events.next("watch_update_in_parts")
    assert "s-2" in log_events.next("engine_unusable")["why"]
    log_events.wait_for_update(2)
    log_events.wait_for_update(3)
    module = daemon._decisions.module
    assert isinstance(module, Gateway) and [engine.id for engine in module.ready] == [THREE]
    send_events(sock, {"index": 3})  # the watch continues
    send_events(sock, event(4, member("s-1", "127.0.0.1:1")))
    log_events.wait_for_update(4)


def test_updates_received_together_are_applied_in_order(
    tmp_path: Path, coordinator: Coordinator, log_events: LogRecorder, monkeypatch: pytest.MonkeyPatch
) -> None:
    # covers a drain right after a return, and a removal together with a start at the same address
    daemon, applied, take = make_daemon(tmp_path, coordinator.address), [], Gateway._apply_engine_list

    def record(self: Gateway, engine_list: api.EngineList) -> None:
        take(self, engine_list)
        applied.append([(entry.engine, entry.health) for entry in engine_list.entries])

    monkeypatch.setattr(Gateway, "_apply_engine_list", record)
    before = daemon._engines._engines[ONE][1]
    daemon.start()
    sock, _ = coordinator.watch()
    send_events(
        sock,
        event(2, member("s-1", "127.0.0.1:1", phase="removed")),
        event(3, member("s-1", "127.0.0.1:1", up_since_ms=5000)),
        event(4, member("s-1", "127.0.0.1:1", up_since_ms=5000, phase="draining")),
        event(5, member("s-1", "127.0.0.1:1", up_since_ms=5000, phase="removed"), member("s-2", "127.0.0.1:1")),
    )
    log_events.wait_for_update(5)
    gone, ready, drains = api.Health.GONE, api.Health.READY, api.Health.DRAINING
    assert applied == [[(ONE, gone)], [(ONE, ready)], [(ONE, drains)], [(ONE, gone), (TWO, ready)]]
    assert engine_ports(daemon) == {"s-2": 1} and daemon._engines._engines[TWO][1] is not before
    assert before._retired


def reconfigure(daemon: Daemon, folder: Path, **changes: Any) -> None:
    """Change the settings in the configuration file and reconfigure the daemon, as at SIGHUP."""
    path = folder / "config.json"
    config = json.loads(path.read_text())
    config["settings"] |= changes
    path.write_text(json.dumps(config))
    daemon.reconfigure(load({"LB_CONFIG": str(path)}))


MORE_PLACES = {
    "Zones": ["y", "z"],
    "Kinds": ["l", "k"],
    "FamilyInfo": {"CoresByKind": [4, 8], "RamOfKindMb": [512.0, 1024.0], "WidthByClass": [1, 2]},
}


def test_new_settings_renumber_the_engine_list_and_parse_later_updates(
    tmp_path: Path, coordinator: Coordinator, log_events: LogRecorder
) -> None:
    # guards against updates parsed under the settings of the start, and a new module that gets the old numbers
    daemon = make_daemon(tmp_path, coordinator.address)
    daemon.start()
    sock, _ = coordinator.watch()
    other = {"locality": "y", "flavor": "l"}
    send_events(sock, event(2, member("s-2", "127.0.0.1:1", **other)))  # settings with its zone and kind come later
    assert "locality" in log_events.next("engine_unusable")["why"] and set(engine_health(daemon)) == {ONE}
    old = daemon._decisions.settings
    mailbox = SimpleQueue[Any]()
    held = daemon._decisions.register(b"1" * 16, mailbox, old)  # a request stays open under the old settings
    reconfigure(daemon, tmp_path, **MORE_PLACES)
    sock, _ = coordinator.watch()  # SIGHUP renews the watch
    places = {entry.engine: (entry.zone, entry.kind) for entry in daemon.engine_list}
    assert places == {ONE: (1, 1), TWO: (0, 0)} and daemon._decisions.ready_zones == {0, 1}
    send_events(sock, event(3, member("s-1", "127.0.0.1:1", phase="draining"), member("s-3", "127.0.0.1:1", **other)))
    log_events.wait_for_update(3)
    modules = [daemon._decisions.module, daemon._decisions._versions.module_at(0)]
    new, older = [module for module in modules if isinstance(module, Gateway)]
    assert {e.id: (e.zone, e.kind) for e in new.ready} == {TWO: (0, 0), THREE: (0, 0)}
    assert older.source is not None  # the older module sees the engines in the numbering of its own settings
    assert {e.engine: (e.zone, e.health) for e in older.source.entries()} == {ONE: (0, api.Health.DRAINING)}
    daemon._decisions.submit(api.Request(held, 0, LIMIT))
    assert isinstance(mailbox.get_nowait(), api.Reject)  # its only engine drains
    send_events(sock, event(4))
    # the update was parsed under the new settings
    assert not {"engine_unusable", "decision_failed"} & set(log_events.wait_for_update(4))
    daemon._decisions.unregister(held, b"1" * 16)
    daemon._decisions.forget(held)


def test_member_without_a_cell_shares_none_with_another() -> None:
    # Guards against engines of unknown cells that all count as one, in which a keyed request may be repeated.
    listed = [member(name, "127.0.0.1:1") for name in ("s-1", "s-2")]
    for one in listed:
        del one["cell"]
    line = json.dumps(event(1, *listed)).encode()
    update = updates.parse_line(line, wire.parse_settings(json.dumps(SETTINGS).encode()))
    assert isinstance(update, updates.Update)
    assert len({found.entry.cell for found in update.members}) == len(update.members) == 2


def test_update_parsed_under_old_settings_is_applied_under_new_ones(
    tmp_path: Path, coordinator: Coordinator, log_events: LogRecorder, monkeypatch: pytest.MonkeyPatch
) -> None:
    # the update is parsed under the old settings, and held back until the new ones are in force
    daemon, reading, change = make_daemon(tmp_path, coordinator.address), threading.Event(), threading.Event()
    update = daemon._engines.update

    def wait(*args: Any) -> None:
        reading.set()
        assert change.wait(LIMIT)
        update(*args)

    monkeypatch.setattr(daemon._engines, "update", wait)
    daemon.start()
    sock, _ = coordinator.watch()
    send_events(sock, event(2, member("s-2", "127.0.0.1:1")))
    assert reading.wait(LIMIT)
    reconfigure(daemon, tmp_path, **MORE_PLACES)
    change.set()
    log_events.wait_for_update(2)
    assert {entry.engine: (entry.zone, entry.kind) for entry in daemon.engine_list} == {ONE: (1, 1), TWO: (1, 1)}


def test_max_deadline_covers_settings_in_force_and_open_requests(tmp_path: Path) -> None:
    # guards against a drain that uses the longest deadline of the configuration at the start
    daemon = make_daemon(tmp_path, ("127.0.0.1", 1))
    grades = [grade | {"DeadlineNs": 1_000_000_000} for grade in SETTINGS["Grades"]]
    assert daemon.max_deadline == 20.0
    held = daemon._decisions.register(b"1" * 16, SimpleQueue(), daemon._decisions.settings)
    reconfigure(daemon, tmp_path, Grades=grades)
    assert daemon.max_deadline == 20.0
    daemon._decisions.unregister(held, b"1" * 16)
    daemon._decisions.forget(held)
    assert daemon.max_deadline == 1.0


def test_admin_stats_report_engine_list_age_and_index(
    tmp_path: Path, coordinator: Coordinator, log_events: LogRecorder
) -> None:
    from tealwing.admin.server import AdminServer

    daemon = make_daemon(tmp_path, coordinator.address)
    admin = AdminServer(("127.0.0.1", 0), lambda: True, daemon.metrics.statsd_lines)
    admin.start()
    daemon.start()
    sock, _ = coordinator.watch()
    send_events(sock, event(2, member("s-2", "127.0.0.1:1")))
    log_events.wait_for_update(2)
    sock.shutdown(socket.SHUT_WR)
    again, _ = coordinator.watch()
    found = ask(admin.address, GET.replace(b"readiness", b"stats"))
    assert b"app.list_index:2|g" in found and b"app.list_age_ms:" in found
    assert b"app.watch_ended.closed:1|c" in found and b"app.watch_ended.silent:0|c" in found
    admin.stop()
    again.close()


def test_settings_without_a_zone_leave_its_members_unplaced() -> None:
    settings = make_settings()
    update = event(2, member("s-1", "127.0.0.1:1", locality="a", flavor="big"), member("s-2", "127.0.0.1:1"))
    data = json.loads(json.dumps(update))
    found = updates.parse_update(data, settings)
    assert [one.name for one in found.members] == ["s-1"] and [one.name for one in found.unplaced] == ["s-2"]
    other = dataclasses.replace(settings, zones=("z",), machine_kinds=(api.MachineKind("k", 8, 1024.0),))
    assert updates.renumbered(found.unplaced[0], other).entry.zone == 0
    with pytest.raises(updates.UpdateError):
        updates.renumbered(found.members[0], other)
