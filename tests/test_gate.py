"""The admission gate, the zones that requests are bound to, and putting a version of the rules in force."""

from __future__ import annotations

import dataclasses
import json
import os
import threading
import time
from collections.abc import Callable, Iterator
from functools import partial
from math import inf
from pathlib import Path
from queue import SimpleQueue
from typing import Any

import pytest

from tealwing import config, log, service
from tealwing import interface as api
from tealwing.exchange import Admitted, Deferred, Exchange, Query, Reply, Served, SettingsChangedError
from tealwing.gateway.daemon import Daemon
from tealwing.mysql import server
from tealwing.policy import Gateway
from tealwing.rollout.admission.gate import Gate
from tealwing.routing.table import Route, Table
from tests.build import bad, delta, entry, listing, make_settings, request_class, sends
from tests.peers import LIMIT, SETTINGS, Client, event, member


class LoadChange:
    """A change of the rules that affects the class load and the group of tables 7."""

    def includes(self, cls: str, tenant: str, group: int) -> bool:
        return cls == "load" or group == 7


def deadline() -> float:
    return time.monotonic() + LIMIT


def call_in_thread(call: Callable[[], Any]) -> SimpleQueue[Any]:
    """Run a call on a thread of its own; return a queue that gets its result."""
    found: SimpleQueue[Any] = SimpleQueue()
    threading.Thread(target=lambda: found.put(call()), daemon=True).start()
    return found


def wait_until_held(gate: Gate, count: int) -> None:
    """Wait until that many requests wait at the gate."""
    until = deadline()
    while gate.metrics().waiting != count:
        assert time.monotonic() < until
        time.sleep(0.005)


@pytest.fixture
def gate() -> Gate:
    gate = Gate(2, 0.4)
    gate.open()
    return gate


# The gate alone


def test_open_gate_admits_without_taking_its_lock(gate: Gate) -> None:
    with gate._changed:
        assert call_in_thread(lambda: gate.admit("look", "", 1, 0.0)).get(timeout=LIMIT) == Admitted(False)


def test_closed_gate_holds_only_affected_requests_and_has_them_parsed_again(gate: Gate) -> None:
    gate.close(LoadChange())
    held = [
        call_in_thread(partial(gate.admit, cls, "", group, deadline())) for cls, group in (("load", 1), ("look", 7))
    ]
    wait_until_held(gate, 2)
    assert gate.admit("look", "", 6, 0.0) == Admitted(False)
    gate.open()
    assert [one.get(timeout=LIMIT) for one in held] == [Admitted(True)] * 2
    figures = gate.metrics()
    assert (figures.held, figures.rejected, figures.waiting) == (2, 0, 0) and figures.max_wait > 0


def test_unparseable_request_waits_for_any_change(gate: Gate) -> None:
    gate.close(LoadChange())
    held = call_in_thread(lambda: gate.admit(None, "", 0, deadline()))
    wait_until_held(gate, 1)
    gate.open()
    assert held.get(timeout=LIMIT) == Admitted(True)


def test_held_requests_are_bounded_in_time_and_number(gate: Gate) -> None:
    gate.close(LoadChange())
    late = gate.admit("load", "", 1, time.monotonic() + 0.01)
    assert isinstance(late, Deferred) and 0.2 <= late.retry_after <= 0.4
    held = [call_in_thread(lambda: gate.admit("load", "", 1, deadline())) for _ in range(2)]
    wait_until_held(gate, 2)
    more = gate.admit("load", "", 1, deadline())
    assert isinstance(more, Deferred) and "too many" in more.reason
    gate.shut("it ends", 1.0)  # releases the waiting requests
    ended = [one.get(timeout=LIMIT) for one in held]
    assert all(isinstance(one, Deferred) and one.reason == "it ends" and one.retry_after >= 0.5 for one in ended)
    assert gate.metrics().rejected == 4 and gate.metrics().waiting == 0


def test_gate_defers_all_requests_after_its_permit_expires() -> None:
    now = [10.0]
    gate = Gate(2, 0.4, lambda: now[0])
    assert isinstance(gate.admit("look", "", 1, 0.0), Deferred)  # the gate starts closed for all requests
    gate.open()
    gate.permit(12.0)
    assert gate.admit("look", "", 1, 0.0) == Admitted(False) and not gate.denial_reason
    now[0] = 12.0
    assert isinstance(gate.admit("look", "", 1, 0.0), Deferred) and "permit" in gate.denial_reason
    gate.close(LoadChange())
    held = call_in_thread(lambda: gate.admit("load", "", 1, deadline()))
    wait_until_held(gate, 1)
    gate.open()  # a request that waited beyond the permit's expiry must not be admitted
    assert isinstance(held.get(timeout=LIMIT), Deferred)
    gate.permit(inf)
    assert gate.admit("look", "", 1, 0.0) == Admitted(False)


# Zones in the decision module


def handle_request(gateway: Gateway, id_: int, zones: frozenset[int] | None, now: float = 1.0) -> list[api.Action]:
    return gateway.handle(now, api.Request(id_, 0, 20.0, zones=zones))


def test_attempts_stay_within_the_zones_of_their_request() -> None:
    gateway = Gateway(make_settings(max_attempts=4), 1)
    gateway.handle(0.0, listing(*(entry(n, zone=n % 2) for n in range(8))))
    assert {send.engine % 2 for n in range(90, 150) for send in sends(handle_request(gateway, n, None))} == {0, 1}
    went: set[int] = set()
    for id_ in range(1, 60):
        actions, number = handle_request(gateway, id_, frozenset((1,))), 0
        while send := sends(actions):
            went.add(send[0].engine)
            actions = gateway.handle(1.0, bad(id_, send[0].engine, api.AttemptResult.CONNECT_FAILED, number))
            number += 1
    assert len(went) > 1 and all(engine % 2 == 1 for engine in went)


def test_request_whose_zones_have_no_ready_engine_is_rejected_at_once() -> None:
    gateway = Gateway(make_settings(), 1)
    gateway.handle(0.0, listing(entry(1, zone=0), entry(2, zone=1)))
    gateway.handle(0.0, delta(entry(2, zone=1, health=api.Health.DRAINING)))
    for id_, zones in enumerate((frozenset((1,)), frozenset[int]()), 1):
        actions = handle_request(gateway, id_, zones)
        assert not sends(actions) and any(isinstance(a, api.Reject) and a.retry_after > 0 for a in actions)
    assert not gateway.requests


# Putting a version in force


@pytest.fixture
def daemon(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Daemon:
    """A daemon with one engine in each of two zones; its configuration is a file that a reload reads."""
    up = [member(f"s-{n}", f"127.0.0.1:{n}", locality=zone) for n, zone in ((1, "z"), (2, "y"))]
    known = {"index": 1, "updates": [event(1, *up)]}
    path = tmp_path / "config.json"
    given = {"name": "n0", "listen": "127.0.0.1:0", "seed": "1f", "coordinator": "127.0.0.1:1", "known": known}
    zones = {"Zones": ["z", "y"]}
    path.write_text(json.dumps(given | {"settings": SETTINGS | zones}))
    monkeypatch.setenv("LB_CONFIG", str(path))
    return Daemon(config.load({"LB_CONFIG": str(path)}))


def query(call: int, group: int = 0) -> Query:
    return Query(b"%016x" % call, 0, 0, 9.0, b"SELECT 1", tables=group)


def zones_of(daemon: Daemon, call: int, group: int) -> frozenset[int] | None:
    handler = daemon.open(query(call, group))
    found = handler._to_request().zones
    handler.cancel()
    handler.run()
    return found


def test_new_routing_table_binds_new_requests_and_keeps_the_module(daemon: Daemon) -> None:
    module, platform = daemon._decisions.module, daemon.platform_settings
    z, y = platform.zones.index("z"), platform.zones.index("y")
    assert zones_of(daemon, 1, 3) is None
    daemon.put_in_force(None, Table.of([Route(0, 9, ("z", "y"))]), None, 1)
    before = daemon.open(query(2, 3))
    daemon.put_in_force(dataclasses.replace(platform), Table.of([Route(0, 9, ("y", "z"))]), None, 2)
    assert daemon._decisions.module is module and daemon.agreed_version == 2  # the module keeps its state
    assert before._to_request().zones == frozenset((z,))  # the open request keeps its sites for retries
    assert zones_of(daemon, 3, 3) == frozenset((y,)) and zones_of(daemon, 4, 30) is None
    down = tuple(
        dataclasses.replace(e, health=api.Health.DRAINING) for e in daemon._decisions.engine_list if e.zone == y
    )
    daemon._decisions.submit(api.EngineList(api.EngineListKind.DELTA, 2, down))
    assert zones_of(daemon, 5, 3) == frozenset((z,))
    daemon.put_in_force(None, None, None, 3)
    assert zones_of(daemon, 6, 3) is None


def test_old_version_is_dropped_with_its_last_open_request(daemon: Daemon) -> None:
    old, applied, module = daemon.platform_settings, list[api.Settings](), daemon._decisions.module
    daemon.on_settings = applied.append
    classes = tuple(dataclasses.replace(cls, latency_objective=cls.latency_objective / 2) for cls in old.classes)
    new = dataclasses.replace(old, classes=classes)
    handler = daemon.open(query(1), old)
    daemon.put_in_force(new, Table.of([Route(0, 9, ("y",))]), None, 1)
    assert applied == [new] and daemon._decisions.module is not module
    with pytest.raises(SettingsChangedError) as caught:  # never settings of one version with the table of another
        daemon.open(query(2), old)
    assert caught.value.settings is new
    versions = daemon._decisions._versions
    assert versions.module_at(0) is module and handler._to_request().zones is None
    handler.cancel()
    handler.run()
    assert versions.module_at(0) is None and not versions._older
    daemon.put_in_force(new, None, None, 2)
    assert daemon._decisions.settings is new and len(applied) == 1


def test_reload_does_not_override_a_version_that_the_fleet_agreed_on(
    daemon: Daemon, monkeypatch: pytest.MonkeyPatch
) -> None:
    logged: list[tuple[str, dict[str, Any]]] = []
    monkeypatch.setattr(log, "event", lambda name, **fields: logged.append((name, fields)))
    mysql_server = server.Server(("127.0.0.1", 0), 2, daemon.platform_settings, daemon.open)
    daemon.on_settings = lambda settings: setattr(mysql_server, "settings", settings)
    path = Path(os.environ["LB_CONFIG"])
    given = json.loads(path.read_text())
    daemon.put_in_force(None, Table(), None, 4)
    assert service.reload(daemon, mysql_server, None)  # the file has not changed
    shorter = SETTINGS["Grades"][0] | {"TargetNs": 500_000_000}
    given["settings"]["Grades"] = [shorter, *SETTINGS["Grades"][1:]]
    path.write_text(json.dumps(given | {"coordinator": "127.0.0.1:2"}))
    for _ in range(2):
        logged.clear()
        assert not service.reload(daemon, mysql_server, None)
        ((name, fields),) = logged
        assert name == "config_rejected" and "version 4" in fields["why"] and "propose" in fields["remedy"]
    assert (
        mysql_server.settings is daemon._decisions.settings
        and mysql_server.settings.classes[0].latency_objective == 1.0
    )
    assert daemon._watch._address == ("127.0.0.1", 2)  # the coordinator is applied nevertheless


# The server


class ImmediateExchange:
    """An exchange that returns one row at once."""

    def run(self) -> Reply:
        return Served((b"a\tb\tc\n",))

    def cancel(self) -> None:
        raise AssertionError


@pytest.fixture
def gated(gate: Gate) -> Iterator[server.Server]:
    """A server with the gate, whose requests are served at once."""
    mysql_server = server.Server(("127.0.0.1", 0), 8, make_settings(tenants=("acme",)), recording_open([]))
    mysql_server.gate = gate
    mysql_server.start()
    yield mysql_server
    gate.shut("the test ends")
    mysql_server.stop_listening()
    mysql_server.finish(LIMIT)


def recording_open(seen: list[tuple[Query, Any]], outdated: list[api.Settings] | None = None) -> Any:
    """Return an `open` that records its calls, and raises SettingsChangedError once for each of `outdated`."""

    def open_(query: Query, settings: Any) -> Exchange:
        seen.append((query, settings))
        if outdated:
            raise SettingsChangedError(outdated.pop())
        return ImmediateExchange()

    return open_


def test_held_request_is_parsed_again_under_the_new_settings(gated: server.Server, gate: Gate) -> None:
    seen: list[tuple[Query, Any]] = []
    gated.open = recording_open(seen)
    gate.close(LoadChange())
    client = Client(gated.address)
    client.ask(op="look", ttl=9000)  # of group 7
    wait_until_held(gate, 1)
    held = time.monotonic()
    first = request_class(name="first")
    gated.settings = new = make_settings(tenants=("acme",), classes=(first, request_class()))
    time.sleep(0.02)
    waited = time.monotonic() - held
    gate.open()
    assert len(client.rows()) == 1
    ((query, settings),) = seen
    assert settings is new and query.cls == 1 and query.ttl <= 9.0 - waited


def test_request_of_a_class_that_the_next_version_adds_waits_for_it(gated: server.Server, gate: Gate) -> None:
    client = Client(gated.address)
    client.ask(op="claim")
    assert client.error()[0] == 1210
    gate.close(LoadChange())
    client.ask(op="claim")
    wait_until_held(gate, 1)
    gated.settings = make_settings(tenants=("acme",), classes=(request_class(name="claim"),))
    gate.open()
    assert len(client.rows()) == 1


def test_deferred_request_gets_a_pushback_time(gated: server.Server, gate: Gate) -> None:
    gate.shut("not known yet", 0.3)
    client = Client(gated.address)
    client.ask(op="look")
    code, text = client.error()
    assert code == 1226 and 150 <= int(text.rpartition("pushback=")[2]) <= 300


def test_request_is_parsed_again_if_settings_change_before_it_opens(gated: server.Server) -> None:
    seen: list[tuple[Query, Any]] = []
    new = make_settings(tenants=("acme",), classes=(request_class(name="first"), request_class()))
    gated.open = recording_open(seen, [new])
    client = Client(gated.address)
    client.ask(op="look")
    assert len(client.rows()) == 1
    assert seen[-1][1] is new and [query.cls for query, _ in seen] == [0, 1]
    gated.open = recording_open(seen, [new] * 9)  # settings that keep changing: rejected instead of an endless loop
    client.ask(op="look")
    assert client.error()[0] == 1226


def test_without_a_gate_a_change_of_settings_before_opening_fails_the_request(gated: server.Server) -> None:
    gated.gate = None
    gated.open = recording_open([], [make_settings()])
    client = Client(gated.address)
    client.ask(op="look")
    assert client.error()[0] == 1210
