"""Tests one gateway with the settings of two customers: each class of both, and changes between them under load."""

from __future__ import annotations

import itertools
import json
import socket
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from queue import SimpleQueue
from types import SimpleNamespace
from typing import Any, cast

import pytest

from tealwing import interface as api
from tealwing import log
from tealwing.config import Config, ConfigError, load
from tealwing.exchange import Query
from tealwing.fleet.peering import Peering
from tealwing.gateway import module_versions, service_levels
from tealwing.gateway.daemon import Daemon
from tealwing.gateway.decisions import Decisions
from tealwing.gateway.host_load import HostLoadMonitor
from tealwing.gateway.request_handler import RequestHandler
from tealwing.gossip.service import GossipService
from tealwing.mysql.server import Server
from tealwing.policy import Gateway
from tealwing.resp.engine_pool import EnginePool
from tealwing.service import apply_settings
from tests import sites
from tests.build import delta, entry, listing, make_settings, request_class
from tests.peers import LIMIT, Client, Coordinator, Program

GAUGE, PARCEL = sites.VARIANTS
INVALID_REQUEST, FAILED, INTERRUPTED = 1210, 1105, 1317  # error codes of invalid, failed and killed requests
CLIENTS = 6  # concurrent clients in tests under load
TTL_MARGIN = 30  # ms by which the gateway may shorten the ttl of an attempt
SETTINGS_CHANGES = 40  # changes of settings in the test under load
COLD_BURST = 400  # requests at once, many more than the slow start allows a cold engine
DRAIN_CHECK_DELAY = 1.2  # s; longer than a drain with a longest deadline of 0.2 s, shorter than one with 3 s or more
CALLS = itertools.count(0xA0)


class Customer:
    """A customer: the settings of a site variant, and an engine in each of its zones."""

    def __init__(self, name: str, **changes: Any) -> None:
        self.name, self.text = name, sites.settings(name, **changes)
        self.attempt_log = sites.AttemptLog()
        self.placements = sites.placements(self.text)
        self.engines = [sites.RecordingEngine(self.attempt_log) for _ in self.placements]
        self.members = [
            sites.engine_member(f"{name}-{placement[0]}", engine.address, placement)
            for engine, placement in zip(self.engines, self.placements, strict=True)
        ]
        self.names = {grade["Name"] for grade in self.text["Grades"]}

    def requests(self) -> list[dict[str, Any]]:
        """Fields of one request of each class and tenant."""
        classes, tenants = range(len(self.text["Grades"])), range(len(self.text["Accounts"]))
        return [sites.request_fields(self.text, c, t, next(CALLS)) for c in classes for t in tenants]

    def close(self) -> None:
        for engine in self.engines:
            engine.listener.close()


@pytest.fixture
def gauge() -> Iterator[Customer]:
    customer = Customer(GAUGE)
    yield customer
    customer.close()


@pytest.fixture
def parcel() -> Iterator[Customer]:
    customer = Customer(PARCEL)
    yield customer
    customer.close()


class Site:
    """The gateway's process, started with the settings of the first customer and the engines of all customers."""

    def __init__(self, folder: Path, first: Customer, *others: Customer, **changes: Any) -> None:
        self.coordinator = Coordinator()
        members = [member for customer in (first, *others) for member in customer.members]
        sites.configuration(folder, first.text, members)
        config = json.loads((folder / "config.json").read_text())
        self.program = Program(
            folder, "127.0.0.1:1", self.coordinator.address, settings=first.text, known=config["known"], **changes
        )
        self.address = self.program.address()

    def reload(self, customer: Customer) -> None:
        self.program.reload(json.dumps(self.program.config | {"settings": customer.text}))

    def end(self) -> None:
        assert self.program.end() == ""
        self.coordinator.listener.close()


def execute(client: Client, request: dict[str, Any]) -> int:
    """Send a request and read its answer; return 0 for rows, else the error code."""
    client.ask(**request)
    payload = client.read()
    if payload[:1] == b"\xff":
        return int.from_bytes(payload[1:3], "little")
    assert payload == b"\x03"
    for _ in range(2):  # end of the columns, end of the rows
        while client.read()[:1] != b"\xfe":
            pass
    return 0


def test_site_variants_differ_in_every_setting_that_could_mix() -> None:
    one, other = (sites.parse(sites.settings(name)) for name in sites.VARIANTS)
    assert len({len(one.classes), len(other.classes), 3}) == 3 and len(one.tenants) != len(other.tenants)
    assert not {c.name for c in one.classes} & {c.name for c in other.classes}
    assert not set(one.tenants) & set(other.tenants) and not set(one.zones) & set(other.zones)
    assert {c.idempotency for c in one.classes} == {c.idempotency for c in other.classes} == set(api.Idempotency)
    # A class index used with the wrong settings changes the effect.
    for mine, theirs in zip(one.classes, other.classes, strict=False):
        assert (
            mine.idempotency is not theirs.idempotency
            and mine.deadline != theirs.deadline
            and mine.priority_weight != theirs.priority_weight
        )
    assert (
        one.limits.attempts_per_connection != other.limits.attempts_per_connection
        and one.limits.max_attempts != other.limits.max_attempts
    )
    assert one.rules != other.rules and one.prices != other.prices and one.report_fields != other.report_fields
    for settings in (one, other):
        assert sum(account.share for account in settings.tenant_quotas) == pytest.approx(1.0)
        assert {kind.name for kind in one.machine_kinds} != {kind.name for kind in other.machine_kinds}


@pytest.mark.parametrize("name", sites.VARIANTS)
def test_request_of_each_class_and_tenant_is_sent_with_its_own_fields(tmp_path: Path, name: str) -> None:
    customer = Customer(name)
    site = Site(tmp_path, customer)
    try:
        client = Client(site.address)
        for request in customer.requests():
            assert execute(client, request) == 0
            (attempt,) = customer.attempt_log.attempts_of(request["call"])
            assert attempt.class_name == request["op"] and attempt.dedupe == request.get("dedupe", "")
            assert request["ttl"] - TTL_MARGIN - 1000 <= attempt.ttl <= request["ttl"]
        unknown = sites.request_fields(customer.text, 0, 0, next(CALLS)) | {"op": "lookup"}
        assert execute(client, unknown) == INVALID_REQUEST
    finally:
        site.end()
        customer.close()


@pytest.mark.parametrize("name", sites.VARIANTS)
def test_lost_attempt_is_repeated_only_if_its_class_allows(tmp_path: Path, name: str) -> None:
    customer = Customer(name)
    site = Site(tmp_path, customer)
    try:
        client = Client(site.address)
        for cls, grade in enumerate(customer.text["Grades"]):
            request = sites.request_fields(customer.text, cls, 0, next(CALLS))
            customer.attempt_log.hold(request["call"])
            client.ask(**request)
            first = customer.attempt_log.wait_for_attempt(request["call"])
            first.connection.shutdown(socket.SHUT_RDWR)  # as if the engine's process crashed
            if grade["Effect"] == "once":
                assert client.error()[0] == FAILED
                assert len(customer.attempt_log.attempts_of(request["call"])) == 1
                continue
            customer.attempt_log.wait_for_attempt(request["call"], 1).answer()
            assert len(client.rows()) == 1
            keys = {attempt.dedupe for attempt in customer.attempt_log.attempts_of(request["call"])}
            assert keys == {request.get("dedupe", "")}  # the same key in all attempts
    finally:
        site.end()
        customer.close()


class BackgroundLoad:
    """Clients that send requests of all customers' classes in turn, each on its own connection, until stopped."""

    def __init__(self, address: tuple[str, int], *customers: Customer) -> None:
        self.results: list[tuple[str, str, float, float, int]] = []  # customer, call, begin, end, error code
        self.errors: list[BaseException] = []
        self._stop, self._progress = threading.Event(), threading.Condition()
        self._address, self._customers = address, customers
        self._threads = [threading.Thread(target=self._run, args=(at,), daemon=True) for at in range(CLIENTS)]
        for thread in self._threads:
            thread.start()

    def wait_for_round(self) -> None:
        """Wait until some client has sent each class of each tenant of all customers once more."""
        with self._progress:
            due = [(c, self._result_count(c) + CLIENTS * (len(c.requests()) + 1)) for c in self._customers]
            done = self._progress.wait_for(
                lambda: self.errors or all(self._result_count(c) >= n for c, n in due), LIMIT
            )
        assert done and not self.errors, self.errors

    def stop(self) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join(LIMIT)
        assert not self.errors

    def _result_count(self, customer: Customer) -> int:
        return sum(1 for name, *_ in self.results if name == customer.name)

    def _run(self, number: int) -> None:
        try:
            client = Client(self._address)
            while not self._stop.is_set():
                for customer in self._customers:
                    for request in customer.requests():
                        begun = time.monotonic()
                        error = execute(client, request)
                        with self._progress:
                            self.results.append((customer.name, request["call"], begun, time.monotonic(), error))
                            self._progress.notify_all()
        except BaseException as error:
            with self._progress:
                self.errors.append(error)
                self._progress.notify_all()


def test_sighup_switches_between_customers_under_load(tmp_path: Path, gauge: Customer, parcel: Customer) -> None:
    site = Site(tmp_path, gauge, parcel)  # the first engine list has the engines of both
    load_clients = BackgroundLoad(site.address, gauge, parcel)
    try:
        load_clients.wait_for_round()
        held = [sites.request_fields(gauge.text, at, 0, next(CALLS)) for at in range(len(gauge.text["Grades"]))]
        clients = [Client(site.address) for _ in held]
        for client, request in zip(clients, held, strict=True):  # one request of each class is open during the change
            gauge.attempt_log.hold(request["call"])
            client.ask(**request)
            gauge.attempt_log.wait_for_attempt(request["call"])
        changes = [SettingsChange(site, parcel)]
        load_clients.wait_for_round()
        for client, request in zip(clients, held, strict=True):
            gauge.attempt_log.wait_for_attempt(request["call"]).answer()
            assert len(client.rows()) == 1  # served under the settings that it arrived under
        site.program.wait_for("settings_retired")  # the old settings are no longer used
        changes.append(SettingsChange(site, gauge))
        load_clients.wait_for_round()
        load_clients.stop()
        in_force = [gauge, parcel, gauge]
        for name, call, begun, ended, error in load_clients.results:
            mine, other = (gauge, parcel) if name == GAUGE else (parcel, gauge)
            whose = in_force[sum(begun > change.done for change in changes)]
            crossed = any(begun <= change.done and ended >= change.begun for change in changes)
            expected = {0, INVALID_REQUEST} if crossed else {0 if whose is mine else INVALID_REQUEST}
            assert error in expected, (name, call, error)
            assert len(mine.attempt_log.attempts_of(call)) == (not error) and not other.attempt_log.attempts_of(call)
        assert gauge.attempt_log.class_names == gauge.names and parcel.attempt_log.class_names == parcel.names
    finally:
        load_clients.stop()
        site.end()


class SettingsChange:
    """One SIGHUP with a customer's settings, and the times between which they come into force."""

    def __init__(self, site: Site, customer: Customer) -> None:
        self.begun = time.monotonic()
        site.reload(customer)
        site.program.wait_for("reconfigured")
        self.done = time.monotonic()


class InProcessGateway:
    """A gateway in the test's process, so that a test can change settings at an exact point."""

    def __init__(self, folder: Path, text: dict[str, Any], members: list[dict[str, Any]]) -> None:
        self.folder, self.members = folder, members
        self.settings_before_open: list[dict[str, Any]] = []  # each is put in force right after a request is read
        first = self._load(text)
        self.daemon = Daemon(first)
        self.server = Server(first.listen, first.max_clients, first.settings, self._open, None, first.max_threads)
        self.daemon.on_settings = lambda settings: apply_settings(self.server, first, settings)
        self.daemon.start()
        self.server.start()

    def change(self, text: dict[str, Any]) -> None:
        self.daemon.reconfigure(self._load(text))

    def module(self) -> Gateway:
        found = service_levels.innermost_module(self.daemon._decisions.module)
        assert found is not None
        return found

    def close(self) -> None:
        self.server.stop_listening()
        self.server.finish(LIMIT)

    def _load(self, text: dict[str, Any]) -> Config:
        return load({"LB_CONFIG": str(sites.configuration(self.folder, text, self.members))})

    def _open(self, query: Query, settings: api.Settings) -> RequestHandler:
        if self.settings_before_open:
            self.change(self.settings_before_open.pop())
        return self.daemon.open(query, settings)


@pytest.mark.parametrize("name", sites.VARIANTS)
def test_request_read_just_before_settings_change_is_served_under_old_settings(tmp_path: Path, name: str) -> None:
    mine, other = Customer(name), Customer(GAUGE if name == PARCEL else PARCEL)
    gateway = InProcessGateway(tmp_path, mine.text, mine.members + other.members)
    try:
        client = Client(gateway.server.address)
        for request in mine.requests():
            # No request is open, so no module of the old settings is left.
            gateway.settings_before_open.append(other.text)
            assert execute(client, request) == 0
            assert [attempt.class_name for attempt in mine.attempt_log.attempts_of(request["call"])] == [request["op"]]
            gateway.change(mine.text)
    finally:
        gateway.close()
        mine.close()
        other.close()


@pytest.mark.parametrize("name", sites.VARIANTS)
def test_request_open_at_settings_change_keeps_effect_of_its_class(tmp_path: Path, name: str) -> None:
    # At each index the other customer's class has a different effect: with the wrong settings a class index would
    # repeat a request that must not be repeated.
    mine, other = Customer(name), Customer(GAUGE if name == PARCEL else PARCEL)
    gateway = InProcessGateway(tmp_path, mine.text, mine.members + other.members)
    try:
        grades = mine.text["Grades"]
        requests = [sites.request_fields(mine.text, at, 0, next(CALLS)) for at in range(len(grades))]
        clients = [Client(gateway.server.address) for _ in grades]
        for client, one in zip(clients, requests, strict=True):
            mine.attempt_log.hold(one["call"])
            client.ask(**one)
            mine.attempt_log.wait_for_attempt(one["call"])
        gateway.change(other.text)
        for client, one, grade in zip(clients, requests, grades, strict=True):
            mine.attempt_log.wait_for_attempt(one["call"]).fail()
            if grade["Effect"] == "once":
                assert client.error()[0] == FAILED and len(mine.attempt_log.attempts_of(one["call"])) == 1
                continue
            again = mine.attempt_log.wait_for_attempt(one["call"], 1)
            assert (again.class_name, again.dedupe) == (one["op"], one.get("dedupe", ""))
            again.answer()
            assert len(client.rows()) == 1
        assert not other.attempt_log.class_names
    finally:
        gateway.close()
        mine.close()
        other.close()


def test_kill_after_settings_change_reaches_module_of_request(
    tmp_path: Path, gauge: Customer, parcel: Customer
) -> None:
    gateway = InProcessGateway(tmp_path, gauge.text, gauge.members + parcel.members)
    try:
        client, request = Client(gateway.server.address), sites.request_fields(gauge.text, 0, 0, next(CALLS))
        gauge.attempt_log.hold(request["call"])
        client.ask(**request)
        gauge.attempt_log.wait_for_attempt(request["call"])
        gateway.change(parcel.text)
        held = gateway.daemon._decisions._versions._older
        assert list(held) == [0]
        Client(gateway.server.address).send(3, b"KILL QUERY %d" % client.id)
        assert client.error()[0] == INTERRUPTED
        assert not held  # the module handled the kill and was removed with its last request
        assert execute(client, sites.request_fields(parcel.text, 0, 0, next(CALLS))) == 0
    finally:
        gateway.close()


def test_class_and_tenant_indexes_are_used_only_with_their_own_settings(
    tmp_path: Path, gauge: Customer, monkeypatch: pytest.MonkeyPatch
) -> None:
    names = [grade["Name"] for grade in gauge.text["Grades"]]
    tenants = [account["Name"] for account in gauge.text["Accounts"]]
    received: list[tuple[str, str, int, int]] = []

    class RecordingModule(Gateway):
        """Records the class and tenant of each request; the request's memory encodes its class, its work the tenant."""

        def handle(self, now: float, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.Request):
                cls, tenant = self.settings.classes[event.cls].name, self.settings.tenants[event.tenant]
                received.append((cls, tenant, round(event.memory_estimate), round((event.cost or 0) * 1e3)))
            return super().handle(now, event)

    monkeypatch.setattr(module_versions, "Gateway", RecordingModule)
    family = gauge.text["FamilyInfo"]
    reversed_lists = {name: list(reversed(family[name])) for name in ("WidthByClass", "ClassWaits", "HoldsTables")}
    other = gauge.text | {
        "Grades": list(reversed(gauge.text["Grades"])),
        "Accounts": list(reversed(gauge.text["Accounts"])),
        "FamilyInfo": family | reversed_lists,
    }
    gateway = InProcessGateway(tmp_path, gauge.text, gauge.members)
    requests = [
        sites.request_fields(gauge.text, cls, tenant, 0) | {"heap_mb": cls + 1, "work": tenant + 1}
        for cls in range(len(names))
        for tenant in range(len(tenants))
    ]
    errors: list[int] = []
    stop = threading.Event()

    def ask() -> None:
        client = Client(gateway.server.address)
        while not stop.is_set():
            errors.extend(execute(client, one | {"call": f"{next(CALLS):016x}"}) for one in requests)

    threads = [threading.Thread(target=ask, daemon=True) for _ in range(CLIENTS)]
    try:
        for thread in threads:
            thread.start()
        for change in range(SETTINGS_CHANGES):
            gateway.change(gauge.text if change % 2 else other)
            so_far = len(errors)
            until = time.monotonic() + LIMIT
            while len(errors) < so_far + len(requests) and time.monotonic() < until:
                time.sleep(0.001)
    finally:
        stop.set()
        for thread in threads:
            thread.join(LIMIT)
        gateway.close()
    assert errors and not any(errors)  # both settings have the same names, so every request succeeds
    assert {(names.index(cls) + 1, tenants.index(tenant) + 1) for cls, tenant, _, _ in received} == {
        (cls, tenant) for _, _, cls, tenant in received
    }
    for cls, tenant, memory, work in received:
        assert (names.index(cls) + 1, tenants.index(tenant) + 1) == (memory, work)


def test_zones_and_machine_kinds_are_parsed_again_under_new_settings(tmp_path: Path, gauge: Customer) -> None:
    # An index into the old lists would send a class that is confined to a zone or machine kind to a different one.
    gateway = InProcessGateway(tmp_path, gauge.text, gauge.members)
    family = gauge.text["FamilyInfo"]
    reversed_lists = {name: list(reversed(family[name])) for name in ("CoresByKind", "RamOfKindMb")}
    other = gauge.text | {
        "Zones": list(reversed(gauge.text["Zones"])),
        "Kinds": list(reversed(gauge.text["Kinds"])),
        "FamilyInfo": family | reversed_lists,
    }
    try:
        for text in (gauge.text, other, gauge.text):
            gateway.change(text)
            cores = dict(zip(text["Kinds"], text["FamilyInfo"]["CoresByKind"], strict=True))
            numbers = {engine.name: number for number, (engine, _) in gateway.daemon._engines._engines.items()}
            for member, (zone, kind) in zip(gauge.members, gauge.placements, strict=True):
                engine = gateway.module().engines[numbers[member["id"]]]
                found = text["Zones"][engine.zone], text["Kinds"][engine.kind], engine.cores
                assert found == (zone, kind, cores[kind])
    finally:
        gateway.close()


def test_engine_in_zone_of_new_settings_serves_after_settings_change(
    tmp_path: Path, gauge: Customer, parcel: Customer
) -> None:
    site = Site(tmp_path, gauge)
    try:
        sock, _ = site.coordinator.next(b"follow")
        send_event(sock, 2, parcel.members[0])  # an engine of a zone that the current settings do not know
        site.program.wait_for("engine_unusable")
        client = Client(site.address)
        assert execute(client, sites.request_fields(gauge.text, 0, 0, next(CALLS))) == 0
        SettingsChange(site, parcel)
        early = sites.request_fields(parcel.text, 0, 0, next(CALLS))
        assert execute(client, early) == 0 and parcel.attempt_log.attempts_of(early["call"])
        late = parcel.members[1]
        sock, words = site.coordinator.next(b"follow")  # the watch reconnects and requests the changes after index 2
        assert words[1] == b"2"
        # The engine list continues with the new names.
        send_event(sock, 3, late, parcel.members[0] | {"phase": "draining"})
        assert site.program.wait_for("engine_list")["members"][late["id"]] == "READY"
        request = sites.request_fields(parcel.text, 2, 0, next(CALLS))
        assert execute(client, request) == 0
        (attempt,) = parcel.attempt_log.attempts_of(request["call"])
        assert attempt.address == late["host_port"]
        assert not gauge.attempt_log.attempts_of(early["call"]) and not gauge.attempt_log.attempts_of(request["call"])
    finally:
        site.end()


def send_event(sock: socket.socket, index: int, *members: dict[str, Any]) -> None:
    """Send a further event to a watch connection."""
    endpoints = {"revision": index, "complete": False, "members": members}
    sock.sendall(json.dumps({"index": index, "endpoints": endpoints}).encode() + b"\n")


def with_limits(text: dict[str, Any], **changes: Any) -> dict[str, Any]:
    return text | {"Allowed": text["Allowed"] | changes}


def test_engine_connections_follow_limits_of_current_settings(tmp_path: Path, gauge: Customer) -> None:
    gateway = InProcessGateway(tmp_path, with_limits(gauge.text, Multiplex=8), gauge.members[:1])
    clients = [Client(gateway.server.address) for _ in range(2)]

    def connections_of_two() -> set[socket.socket]:
        """The engine connections of two requests that are open at the same time."""
        requests = [sites.request_fields(gauge.text, 1, 0, next(CALLS)) for _ in clients]
        for client, one in zip(clients, requests, strict=True):
            gauge.attempt_log.hold(one["call"])
            client.ask(**one)
            gauge.attempt_log.wait_for_attempt(one["call"])
        attempts = [gauge.attempt_log.wait_for_attempt(one["call"]) for one in requests]
        for client, attempt in zip(clients, attempts, strict=True):
            attempt.answer()
            assert len(client.rows()) == 1
        return {attempt.connection for attempt in attempts}

    try:
        first = connections_of_two()
        assert len(first) == 1
        gateway.change(with_limits(gauge.text, Multiplex=1))  # one attempt per connection
        second = connections_of_two()
        assert len(second) == 2
        gateway.change(with_limits(gauge.text, Multiplex=8, ConnIdleNs=1))  # closed when idle for 1 ns
        assert not connections_of_two() & (first | second)
    finally:
        gateway.close()


def test_connect_uses_timeout_of_current_settings(tmp_path: Path, gauge: Customer) -> None:
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)  # accepts nothing: with a full queue no connection is established
    queued = [socket.socket() for _ in range(4)]
    for sock in queued:
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
    host, port = listener.getsockname()
    members = [sites.engine_member("unreachable", f"{host}:{port}", gauge.placements[0])]
    gateway = InProcessGateway(tmp_path, with_limits(gauge.text, ConnectTimeoutNs=15_000 * sites.MS), members)
    try:
        gateway.change(with_limits(gauge.text, ConnectTimeoutNs=50 * sites.MS))
        client, begun = Client(gateway.server.address), time.monotonic()
        assert execute(client, sites.request_fields(gauge.text, 3, 0, next(CALLS))) not in (0, INVALID_REQUEST)
        assert time.monotonic() - begun < 5  # a few connects of 0.05 s each; one under the first settings takes 15 s
    finally:
        gateway.close()
        for sock in (listener, *queued):
            sock.close()


def count_sent(decisions: Decisions, settings: api.Settings) -> int:
    """Submit COLD_BURST requests at once, let each end as usual, and count the attempts that are sent."""
    cls, count = 1, 0
    usual = settings.classes[cls].latency_objective
    for _ in range(COLD_BURST):
        mailbox: SimpleQueue[Any] = SimpleQueue()
        call = b"%016x" % next(CALLS)
        number = decisions.register(call, mailbox, settings)
        decisions.submit(api.Request(number, cls, settings.classes[cls].deadline, 1.0, None, 0, 0, 0.0))
        while not mailbox.empty():
            action = mailbox.get()
            if isinstance(action, api.Send):
                count += 1
                decisions.submit(api.AttemptOutcome(number, 0, action.engine, api.AttemptResult.OK, usual, True))
        decisions.unregister(number, call)
        decisions.forget(number)
    return count


@pytest.mark.parametrize("held", [False, True])
def test_cold_engine_keeps_one_budget_across_settings_change(held: bool) -> None:
    # Guards against a separate slow-start budget for each policy module: after SIGHUP each gateway would send its
    # whole share to the cold engine again.
    first = sites.parse(sites.settings(GAUGE, Siblings=1))
    second = sites.parse(sites.settings(GAUGE, Siblings=1, TickNs=6 * sites.MS))
    decisions = Decisions(first, 1, EnginePool(first.limits))
    if held:
        decisions.register(b"a" * 16, SimpleQueue(), first)  # an open request keeps the first module
    decisions.submit(listing(entry(7, started=time.time())))
    before = count_sent(decisions, first)
    assert 0 < before < COLD_BURST  # the budget limits the requests
    decisions.replace_settings(second)
    assert count_sent(decisions, second) <= 1  # the budget grows a little in the meantime
    decisions.submit(delta(entry(8, started=time.time())))  # an engine that starts with two modules present, or one
    assert count_sent(decisions, second) in range(before - 1, before + 2)
    assert count_sent(decisions, first) <= 1  # requests that were read under the first settings


@pytest.mark.parametrize("gateways", [1, 3, 200])
def test_cold_engine_keeps_one_budget_across_many_settings_changes(gateways: int) -> None:
    # New configurations arrive in quick succession, within the slow start of an engine.
    settings = [sites.parse(sites.settings(GAUGE, Siblings=gateways, TickNs=tick * sites.MS)) for tick in range(5, 25)]
    unchanged = Decisions(settings[0], 1, EnginePool(settings[0].limits))
    unchanged.submit(listing(entry(7, started=time.time())))
    usual = sum(count_sent(unchanged, settings[0]) for _ in settings)
    assert usual or gateways > 1
    decisions = Decisions(settings[0], 1, EnginePool(settings[0].limits))
    decisions.submit(listing(entry(7, started=time.time())))
    count = count_sent(decisions, settings[0])
    for changed in settings[1:]:
        decisions.replace_settings(changed)
        count += count_sent(decisions, changed)
    assert count <= usual + 1


def count_retries(decisions: Decisions, settings: api.Settings) -> int:
    """Submit a request, reset all of its attempts, and count the attempts after the first."""
    mailbox: SimpleQueue[Any] = SimpleQueue()
    number = decisions.register(b"%016x" % next(CALLS), mailbox, settings)
    decisions.submit(api.Request(number, 1, settings.classes[1].deadline, 1.0, None, 0, 0, 0.0))
    attempts = 0
    while not mailbox.empty():
        action = mailbox.get()
        if isinstance(action, api.Send):
            decisions.submit(api.AttemptOutcome(number, attempts, action.engine, api.AttemptResult.RESET, 0.01, False))
            attempts += 1
    return max(0, attempts - 1)


def test_retry_budget_survives_settings_change() -> None:
    # The retry budget must cover all attempts of the gateway, whichever policy module made them.
    text = sites.settings(GAUGE, Siblings=1)
    budget = {"ExtraFree": 3.0, "ExtraPerRequest": 0.0, "BudgetSpanNs": 60_000 * sites.MS}
    first = sites.parse(text | {"Contract": text["Contract"] | budget})
    second = sites.parse(text | {"Contract": text["Contract"] | budget, "TickNs": 6 * sites.MS})
    decisions = Decisions(first, 1, EnginePool(first.limits))
    decisions.submit(listing(entry(7), entry(8), entry(9)))
    assert sum(count_retries(decisions, first) for _ in range(5)) == 3
    decisions.replace_settings(second)
    assert sum(count_retries(decisions, second) for _ in range(5)) == 0


def with_deadlines(text: dict[str, Any], ms: int) -> dict[str, Any]:
    return text | {"Grades": [grade | {"DeadlineNs": ms * sites.MS} for grade in text["Grades"]]}


@pytest.mark.parametrize(
    "deadlines",
    [(20_000, None, 200), (200, 20_000, None), (200, 20_000, None, 200)],
    ids=["start", "in force", "between"],
)
def test_drain_waits_for_longest_deadline_of_open_requests(
    tmp_path: Path, gauge: Customer, deadlines: tuple[int | None, ...]
) -> None:
    # Each number is the longest deadline in ms of settings, in the order in which they come into force; the request
    # arrives at None.
    text = gauge.text
    gauge.text = with_deadlines(text, deadlines[0] or 0)
    site = Site(tmp_path, gauge)
    try:
        client = Client(site.address)
        request = sites.request_fields(text, 0, 0, next(CALLS)) | {"ttl": 20_000}
        gauge.attempt_log.hold(request["call"])
        for ms in deadlines[1:]:
            if ms is None:
                client.ask(**request)
                attempt = gauge.attempt_log.wait_for_attempt(request["call"])
                continue
            gauge.text = with_deadlines(text, ms)
            SettingsChange(site, gauge)
        site.program.terminate()
        site.program.wait_for("draining")
        time.sleep(DRAIN_CHECK_DELAY)  # past the drain of the shorter deadline, within the drain of the longer one
        attempt.answer()
        assert len(client.rows()) == 1
    finally:
        site.end()


def test_metrics_of_customer_are_dropped_with_its_settings(tmp_path: Path, gauge: Customer, parcel: Customer) -> None:
    gateway = InProcessGateway(tmp_path, gauge.text, gauge.members + parcel.members)
    try:
        client = Client(gateway.server.address)
        request = sites.request_fields(gauge.text, 0, 0, next(CALLS))
        assert execute(client, request) == 0
        held = sites.request_fields(gauge.text, 1, 0, next(CALLS))
        gauge.attempt_log.hold(held["call"])
        client.ask(**held)
        attempt = gauge.attempt_log.wait_for_attempt(held["call"])
        gateway.change(parcel.text)
        attempt.answer()
        assert len(client.rows()) == 1
        served = {line for line in gateway.daemon.metrics.statsd_lines().decode().split() if ".ok." in line}
        # A request that was open under older settings counts under no class of the new settings.
        assert served == {f"app.ok.{name}:0|c" for name in parcel.names}
        gateway.change(gauge.text)
        assert f"app.ok.{request['op']}:0|c" in gateway.daemon.metrics.statsd_lines().decode()  # counted from 0 again
    finally:
        gateway.close()


def test_settings_change_is_logged_after_requests_are_read_under_it(
    tmp_path: Path, gauge: Customer, parcel: Customer, monkeypatch: pytest.MonkeyPatch
) -> None:
    gateway = InProcessGateway(tmp_path, gauge.text, gauge.members)
    logged: list[bool] = []
    event = log.event

    def record(name: str, **fields: Any) -> None:
        if name == "settings_changed":
            logged.append(gateway.server.settings.classes[0].name in parcel.names)
        event(name, **fields)

    monkeypatch.setattr(log, "event", record)
    try:
        gateway.change(parcel.text)
        assert logged == [True]
    finally:
        gateway.close()


def test_settings_that_forbid_peers_are_rejected_while_peer_link_is_on(tmp_path: Path, gauge: Customer) -> None:
    gateway = InProcessGateway(tmp_path, with_limits(gauge.text, Peers=True), gauge.members)
    try:
        # The stub has the only field of the peer link that a change of settings reads.
        gateway.daemon._peering = cast(Peering, SimpleNamespace(feed=None))
        before = gateway.server.settings
        with pytest.raises(ConfigError, match="Allowed.Peers"):
            gateway.change(with_limits(gauge.text, Peers=False))
        assert gateway.server.settings is before
        gateway.change(with_limits(gauge.text, Peers=True, MaxAttempts=2))
        assert gateway.server.settings.limits.max_attempts == 2
    finally:
        gateway.close()


@pytest.mark.parametrize("on", ["levels", "gossip", "rules"])
def test_settings_change_is_rejected_while_feature_depends_on_settings(
    tmp_path: Path, gauge: Customer, parcel: Customer, on: str
) -> None:
    gateway = InProcessGateway(tmp_path, gauge.text, gauge.members + parcel.members)
    try:
        if on == "levels":
            monitor = SimpleNamespace(record_dispatch_delay=lambda seconds: None)
            gateway.daemon._host_load = cast(HostLoadMonitor, monitor)
        elif on == "gossip":
            gateway.daemon._gossip = cast(GossipService, object())
        else:
            gateway.daemon.put_in_force(None, None, None, 3)
        before = gateway.server.settings
        with pytest.raises(ConfigError, match="rules propose" if on == "rules" else "restart"):
            gateway.change(parcel.text)
        assert gateway.server.settings is before
        assert execute(Client(gateway.server.address), sites.request_fields(gauge.text, 1, 0, next(CALLS))) == 0
    finally:
        gateway.close()


def test_thread_limit_follows_gateway_count_of_current_settings(tmp_path: Path, gauge: Customer) -> None:
    three_gateways, many_gateways = gauge.text | {"Siblings": 3}, gauge.text | {"Siblings": 200}
    gateway = InProcessGateway(tmp_path, three_gateways, gauge.members)
    try:
        before = gateway.server._max_threads
        gateway.change(many_gateways)
        assert gateway.server._max_threads == gateway._load(many_gateways).max_threads < before
    finally:
        gateway.close()


def test_timer_of_old_settings_reaches_no_module_of_new_settings(monkeypatch: pytest.MonkeyPatch) -> None:
    fired: list[tuple[int, int]] = []

    class RecordingModule(Gateway):
        def handle(self, now: float, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.TimerFired):
                fired.append((self.settings.classes[0].threads, event.token))
            return super().handle(now, event)

    monkeypatch.setattr(module_versions, "Gateway", RecordingModule)
    old, new = make_settings(classes=(request_class(threads=1),)), make_settings(classes=(request_class(threads=2),))
    decisions = Decisions(old, 1, EnginePool(old.limits))
    number = decisions.register(b"a" * 16, SimpleQueue(), old)
    decisions.replace_settings(new)
    decisions._on_timers([(9, 0), (11, 1)])
    decisions.unregister(number, b"a" * 16)
    decisions.forget(number)
    decisions._on_timers([(13, 0), (15, 1)])  # the old module was removed with its last request
    assert fired == [(1, 9), (2, 11), (2, 15)]
