"""Request handling and the watch below the sockets, and the imports between packages and modules."""

from __future__ import annotations

import ast
import queue
import socket
import time
from pathlib import Path

import pytest

from tealwing.connection_reader import ConnectionReader
from tealwing.coordinator import updates
from tealwing.coordinator.watch import WatchClient
from tealwing.exchange import Cancelled, Query, Rejected
from tealwing.gateway import request_handler
from tealwing.gateway.decisions import Decisions
from tealwing.policy import Gateway
from tealwing.resp import connection as connections
from tealwing.resp import messages
from tealwing.resp.engine_pool import EnginePool
from tests.build import entry, listing, make_settings
from tests.peers import LIMIT

ROOT = Path(__file__).parent.parent / "tealwing"


def test_send_overtaken_by_a_cancel_gets_an_outcome() -> None:
    # guards against a send that is never carried out but counts as in flight at its engine forever
    settings = make_settings()
    engines = EnginePool(settings.limits)
    decisions = Decisions(settings, 1, engines)
    decisions.submit(listing(entry(7)))
    cancelled = request_handler.RequestHandler(Query(b"1" * 16, 0, 0, 5.0, b"SELECT 1"), settings, decisions, engines)
    cancelled.cancel()  # before the request is submitted to the module
    assert isinstance(cancelled.run(), Cancelled)
    module = decisions.module
    assert isinstance(module, Gateway)
    assert not module.requests and module.class_traffic[0].in_flight == 0 and module.engines[7].queries == 0


def test_watch_applies_each_event_once_and_in_order() -> None:
    # guards the engine list: a repeated event must not undo later updates, and missing events must be requested
    applied: list[int] = []
    watch = WatchClient(("127.0.0.1", 1), 4, make_settings(), lambda update: applied.append(update.index))
    for index in (4, 5, 5, 6):
        watch.apply(updates.Update(index, index, False, ()))
    watch.apply(6)  # the number of the last event alone
    try:
        watch.apply(updates.Update(8, 8, False, ()))
        raise AssertionError("an update after a gap was applied")
    except updates.UpdateError:
        assert applied == [5, 6] and watch.index == 6


def test_last_event_number_ahead_of_the_applied_one_is_a_gap() -> None:
    # guards against a missed drain: after SIGHUP it went unnoticed for 5 s, and five requests went to that engine
    watch = WatchClient(("127.0.0.1", 1), 4, make_settings(), lambda update: None)
    with pytest.raises(updates.UpdateError):
        watch.apply(5)


def test_failed_update_is_requested_again() -> None:
    # guards the watch thread: an internal error ended it, and with it all updates
    listener = socket.create_server(("127.0.0.1", 0))
    listener.settimeout(LIMIT)
    received: queue.SimpleQueue[int] = queue.SimpleQueue()

    def fail_once(update: updates.Update) -> None:
        received.put(update.index)
        if received.qsize() == 1:
            raise ZeroDivisionError

    WatchClient(listener.getsockname(), 4, make_settings(), fail_once).start()
    for _ in range(2):
        sock, _ = listener.accept()
        with sock:
            assert sock.recv(64) == b"follow 4\n"
            sock.sendall(b'{"index":5,"endpoints":{"revision":5,"complete":false,"members":[]}}\n')
            sock.recv(64)
    assert [received.get(timeout=LIMIT) for _ in range(2)] == [5, 5]


def test_busy_connection_does_not_count_as_stalled(monkeypatch: pytest.MonkeyPatch) -> None:
    # guards against taking a series of messages for one late message, if each read ends within a message
    monkeypatch.setattr(connections, "MESSAGE_TIMEOUT", 1.0)
    ours, theirs = socket.socketpair()
    received: queue.SimpleQueue[object] = queue.SimpleQueue()
    connection = connections.Connection(ours, lambda _: None)
    ConnectionReader().watch(connection)
    connection.submit(connections.Stream(connection, b"1", received.put), lambda: b"-", b"SELECT 1")
    note = messages.encode(b"1", b"status", b"-", b"")
    theirs.sendall(note + note[:9])
    for _ in range(5):
        assert isinstance(received.get(timeout=LIMIT), connections.Answer)
        time.sleep(0.3)  # in sum longer than the limit, while each message is well within it
        theirs.sendall(note[9:] + note[:9])
    theirs.close()
    assert isinstance(received.get(timeout=LIMIT), connections.Answer)
    assert isinstance(received.get(timeout=LIMIT), connections.StreamLost)


def test_one_unusable_member_does_not_hide_the_others() -> None:
    # guards the rest of an update: a machine kind that the settings do not name must skip its member only
    member = {"id": "s-1", "host_port": "127.0.0.1:1", "locality": "a", "flavor": "big", "phase": "up"}
    data = {"index": 2, "endpoints": {"complete": False, "members": [member | {"flavor": "new"}, member]}}
    got = updates.parse_update(data, make_settings())
    assert [m.name for m in got.members] == ["s-1"] and len(got.unusable) == 1


def imports(path: Path) -> set[str]:
    """Return the top-level packages and modules of tealwing that a file imports."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module and node.module.split(".")[0] == "tealwing":
            parts = node.module.split(".")[1:2]
            found |= set(parts) if parts else {alias.name for alias in node.names}
    return found


def test_packages_have_no_import_cycle() -> None:
    needs: dict[str, set[str]] = {}
    for path in ROOT.rglob("*.py"):
        unit = path.relative_to(ROOT).parts[0].removesuffix(".py")
        needs.setdefault(unit, set()).update(imports(path) - {unit})
    assert {"gateway", "mysql", "resp", "coordinator"} <= set(needs)
    while needs:
        free = [unit for unit, others in needs.items() if not others & set(needs)]
        assert free, f"an import cycle among {sorted(needs)}"
        for unit in free:
            del needs[unit]


def imported_modules(path: Path, modules: dict[str, Path]) -> set[str]:
    """Return the modules of tealwing that a file imports, also those for type checks only."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module and node.module.startswith("tealwing"):
            for alias in node.names:
                name = f"{node.module}.{alias.name}"
                found.add(name if name in modules else node.module)
    return found & set(modules)


def test_modules_have_no_import_cycle() -> None:
    modules = {
        ".".join(("tealwing", *path.relative_to(ROOT).with_suffix("").parts)): path for path in ROOT.rglob("*.py")
    }
    modules = {name.removesuffix(".__init__"): path for name, path in modules.items()}
    # the modules of a trial's test cluster still know the trial: docs/ROADMAP.md
    modules = {name: path for name, path in modules.items() if not name.startswith("tealwing.lab.rig")}
    needs = {name: imported_modules(path, modules) - {name} for name, path in modules.items()}
    assert len(needs) > 200
    while needs:
        free = [name for name, others in needs.items() if not others & set(needs)]
        assert free, f"an import cycle among {sorted(needs)}"
        for name in free:
            del needs[name]


@pytest.mark.parametrize("ttl", [0.001, 0.02, request_handler.RESERVED_TIME])
def test_request_whose_ttl_is_within_the_reserved_time_is_rejected_unsent(ttl: float) -> None:
    # guards against late retries with a few milliseconds left: they were answered after their client had left
    settings = make_settings()
    engines = EnginePool(settings.limits)
    decisions = Decisions(settings, 1, engines)
    decisions.submit(listing(entry(7)))
    late = request_handler.RequestHandler(Query(b"1" * 16, 0, 0, ttl, b"SELECT 1"), settings, decisions, engines)
    assert isinstance(late.run(), Rejected)
    module = decisions.module
    assert isinstance(module, Gateway)
    assert not module.requests and module.engines[7].queries == 0
