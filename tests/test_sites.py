"""Two customers' settings through one gateway: each class of both, and a change from one to the other under load."""

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
UNKNOWN, FAILED, INTERRUPTED = 1210, 1105, 1317  # errors: a request that can't be read, failed, was killed
CLIENTS = 6  # under load
TIME_KEPT = 30  # ms of a client's time that the gateway may keep for its own
CHANGES = 40  # of settings, under load
COLD_ASKED = 400  # requests at once, many more than a cold engine may get
DRAINING = 1.2  # s: longer than a drain whose longest deadline is 0.2 s, much shorter than one of 3 s and more
CALLS = itertools.count(0xA0)


class Customer:
    """A variant's settings, and an engine in each of its zones."""

    def __init__(self, name: str, **changes: Any) -> None:
        self.name, self.text = name, sites.settings(name, **changes)
        self.book = sites.Book()
        self.places = sites.places(self.text)
        self.engines = [sites.Noting(self.book) for _ in self.places]
        self.members = [
            sites.engine_member(f"{name}-{place[0]}", engine.address, place)
            for engine, place in zip(self.engines, self.places, strict=True)
        ]
        self.names = {grade["Name"] for grade in self.text["Grades"]}

    def requests(self) -> list[dict[str, Any]]:
        """One request of each class and tenant."""
        classes, tenants = range(len(self.text["Grades"])), range(len(self.text["Accounts"]))
        return [sites.fields(self.text, c, t, next(CALLS)) for c in classes for t in tenants]

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
    """The gateway's process with the engines of all customers in its first list."""

    def __init__(self, folder: Path, first: Customer, *others: Customer, **changes: Any) -> None:
        self.coordinator = Coordinator()
        members = [member for customer in (first, *others) for member in customer.members]
        sites.configuration(folder, first.text, members)
        config = json.loads((folder / "config.json").read_text())
        self.program = Program(
            folder, "127.0.0.1:1", self.coordinator.address, settings=first.text, known=config["known"], **changes
        )
        self.address = self.program.address()

    def hang_up(self, customer: Customer) -> None:
        self.program.reload(json.dumps(self.program.config | {"settings": customer.text}))

    def end(self) -> None:
        assert self.program.end() == ""
        self.coordinator.listener.close()


def answered(client: Client, asked: dict[str, Any]) -> int:
    """0 once the request has its rows, else the number of the error."""
    client.ask(**asked)
    payload = client.read()
    if payload[:1] == b"\xff":
        return int.from_bytes(payload[1:3], "little")
    assert payload == b"\x03"
    for _ in range(2):  # the columns, the rows
        while client.read()[:1] != b"\xfe":
            pass
    return 0


def test_the_variants_differ_in_all_that_could_bleed() -> None:
    one, other = (sites.read(sites.settings(name)) for name in sites.VARIANTS)
    assert len({len(one.classes), len(other.classes), 3}) == 3 and len(one.tenants) != len(other.tenants)
    assert not {c.name for c in one.classes} & {c.name for c in other.classes}
    assert not set(one.tenants) & set(other.tenants) and not set(one.zones) & set(other.zones)
    assert {c.idempotency for c in one.classes} == {c.idempotency for c in other.classes} == set(api.Idempotency)
    for mine, theirs in zip(one.classes, other.classes, strict=False):  # an index that strays changes the effect
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
def test_each_class_of_each_tenant_is_served_by_its_own_terms(tmp_path: Path, name: str) -> None:
    customer = Customer(name)
    site = Site(tmp_path, customer)
    try:
        client = Client(site.address)
        for asked in customer.requests():
            assert answered(client, asked) == 0
            (want,) = customer.book.of(asked["call"])
            assert want.lane == asked["op"] and want.dedupe == asked.get("dedupe", "")
            assert asked["ttl"] - TIME_KEPT - 1000 <= want.ttl <= asked["ttl"]
        assert answered(client, sites.fields(customer.text, 0, 0, next(CALLS)) | {"op": "lookup"}) == UNKNOWN
    finally:
        site.end()
        customer.close()


@pytest.mark.parametrize("name", sites.VARIANTS)
def test_each_effect_is_kept_when_an_attempt_that_has_begun_is_lost(tmp_path: Path, name: str) -> None:
    customer = Customer(name)
    site = Site(tmp_path, customer)
    try:
        client = Client(site.address)
        for cls, grade in enumerate(customer.text["Grades"]):
            asked = sites.fields(customer.text, cls, 0, next(CALLS))
            customer.book.hold(asked["call"])
            client.ask(**asked)
            customer.book.attempt(asked["call"]).sock.shutdown(socket.SHUT_RDWR)  # as when its process dies
            if grade["Effect"] == "once":
                assert client.error()[0] == FAILED
                assert len(customer.book.of(asked["call"])) == 1
                continue
            customer.book.attempt(asked["call"], 1).answer()
            assert len(client.rows()) == 1
            keys = {want.dedupe for want in customer.book.of(asked["call"])}
            assert keys == {asked.get("dedupe", "")}  # the same for all tries
    finally:
        site.end()
        customer.close()


class Load:
    """Clients that ask for both customers' classes in turn, each over a session of its own, until they are stopped."""

    def __init__(self, address: tuple[str, int], *customers: Customer) -> None:
        self.ended: list[tuple[str, str, float, float, int]] = []  # customer, call, asked, answered, error
        self.faults: list[BaseException] = []
        self._stop, self._step = threading.Event(), threading.Condition()
        self._address, self._customers = address, customers
        self._threads = [threading.Thread(target=self._run, args=(at,), daemon=True) for at in range(CLIENTS)]
        for thread in self._threads:
            thread.start()

    def round(self) -> None:
        """Wait until some client has asked for each class of each tenant of all customers once more."""
        with self._step:
            due = [(c, self._answers(c) + CLIENTS * (len(c.requests()) + 1)) for c in self._customers]
            done = self._step.wait_for(lambda: self.faults or all(self._answers(c) >= n for c, n in due), LIMIT)
        assert done and not self.faults, self.faults

    def stop(self) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join(LIMIT)
        assert not self.faults

    def _answers(self, customer: Customer) -> int:
        return sum(1 for name, *_ in self.ended if name == customer.name)

    def _run(self, number: int) -> None:
        try:
            client = Client(self._address)
            while not self._stop.is_set():
                for customer in self._customers:
                    for asked in customer.requests():
                        begun = time.monotonic()
                        error = answered(client, asked)
                        with self._step:
                            self.ended.append((customer.name, asked["call"], begun, time.monotonic(), error))
                            self._step.notify_all()
        except BaseException as error:
            with self._step:
                self.faults.append(error)
                self._step.notify_all()


def test_sighup_from_one_customer_to_the_other_and_back_under_load(
    tmp_path: Path, gauge: Customer, parcel: Customer
) -> None:
    site = Site(tmp_path, gauge, parcel)  # the engines of both are listed from the start
    load_ = Load(site.address, gauge, parcel)
    try:
        load_.round()
        held = [sites.fields(gauge.text, at, 0, next(CALLS)) for at in range(len(gauge.text["Grades"]))]
        clients = [Client(site.address) for _ in held]
        for client, asked in zip(clients, held, strict=True):  # open in each class while the settings change
            gauge.book.hold(asked["call"])
            client.ask(**asked)
            gauge.book.attempt(asked["call"])
        changes = [Change(site, parcel)]
        load_.round()
        for client, asked in zip(clients, held, strict=True):
            gauge.book.attempt(asked["call"]).answer()
            assert len(client.rows()) == 1  # by the terms it came under
        site.program.wait_for("settings_retired")  # and nothing is left of them
        changes.append(Change(site, gauge))
        load_.round()
        load_.stop()
        in_force = [gauge, parcel, gauge]
        for name, call, begun, ended, error in load_.ended:
            mine, other = (gauge, parcel) if name == GAUGE else (parcel, gauge)
            whose = in_force[sum(begun > change.done for change in changes)]
            crossed = any(begun <= change.done and ended >= change.begun for change in changes)
            expected = {0, UNKNOWN} if crossed else {0 if whose is mine else UNKNOWN}
            assert error in expected, (name, call, error)
            assert len(mine.book.of(call)) == (not error) and not other.book.of(call)
        assert gauge.book.lanes == gauge.names and parcel.book.lanes == parcel.names
    finally:
        load_.stop()
        site.end()


class Change:
    """One SIGHUP, and the times between which it comes into force."""

    def __init__(self, site: Site, customer: Customer) -> None:
        self.begun = time.monotonic()
        site.hang_up(customer)
        site.program.wait_for("reconfigured")
        self.done = time.monotonic()


class Gatekeeper:
    """The gateway within this process: its settings change as a test says, at the very point that it says."""

    def __init__(self, folder: Path, text: dict[str, Any], members: list[dict[str, Any]]) -> None:
        self.folder, self.members = folder, members
        self.before_open: list[dict[str, Any]] = []  # settings that come into force as a request has been read
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
        if self.before_open:
            self.change(self.before_open.pop())
        return self.daemon.open(query, settings)


@pytest.mark.parametrize("name", sites.VARIANTS)
def test_a_request_read_in_the_instant_of_a_change_is_served_by_what_it_was_read_under(
    tmp_path: Path, name: str
) -> None:
    mine, other = Customer(name), Customer(GAUGE if name == PARCEL else PARCEL)
    gate = Gatekeeper(tmp_path, mine.text, mine.members + other.members)
    try:
        client = Client(gate.server.address)
        for asked in mine.requests():
            gate.before_open.append(other.text)  # nothing is open: no module of the old settings is left
            assert answered(client, asked) == 0
            assert [want.lane for want in mine.book.of(asked["call"])] == [asked["op"]]
            gate.change(mine.text)
    finally:
        gate.close()
        mine.close()
        other.close()


@pytest.mark.parametrize("name", sites.VARIANTS)
def test_what_is_open_at_a_change_keeps_the_effect_of_its_class(tmp_path: Path, name: str) -> None:
    # at each index the other customer's class has another effect: an index that strays repeats what must not be
    mine, other = Customer(name), Customer(GAUGE if name == PARCEL else PARCEL)
    gate = Gatekeeper(tmp_path, mine.text, mine.members + other.members)
    try:
        grades = mine.text["Grades"]
        asked = [sites.fields(mine.text, at, 0, next(CALLS)) for at in range(len(grades))]
        clients = [Client(gate.server.address) for _ in grades]
        for client, one in zip(clients, asked, strict=True):
            mine.book.hold(one["call"])
            client.ask(**one)
            mine.book.attempt(one["call"])
        gate.change(other.text)
        for client, one, grade in zip(clients, asked, grades, strict=True):
            mine.book.attempt(one["call"]).fail()
            if grade["Effect"] == "once":
                assert client.error()[0] == FAILED and len(mine.book.of(one["call"])) == 1
                continue
            again = mine.book.attempt(one["call"], 1)
            assert (again.lane, again.dedupe) == (one["op"], one.get("dedupe", ""))
            again.answer()
            assert len(client.rows()) == 1
        assert not other.book.lanes
    finally:
        gate.close()
        mine.close()
        other.close()


def test_a_kill_after_a_change_reaches_the_module_that_holds_the_request(
    tmp_path: Path, gauge: Customer, parcel: Customer
) -> None:
    gate = Gatekeeper(tmp_path, gauge.text, gauge.members + parcel.members)
    try:
        client, asked = Client(gate.server.address), sites.fields(gauge.text, 0, 0, next(CALLS))
        gauge.book.hold(asked["call"])
        client.ask(**asked)
        gauge.book.attempt(asked["call"])
        gate.change(parcel.text)
        held = gate.daemon._decisions._versions._older
        assert list(held) == [0]
        Client(gate.server.address).send(3, b"KILL QUERY %d" % client.id)
        assert client.error()[0] == INTERRUPTED
        assert not held  # it heard of that, and went with its last request
        assert answered(client, sites.fields(parcel.text, 0, 0, next(CALLS))) == 0
    finally:
        gate.close()


def test_no_index_of_a_class_or_tenant_reaches_a_list_that_it_was_not_made_for(
    tmp_path: Path, gauge: Customer, monkeypatch: pytest.MonkeyPatch
) -> None:
    names = [grade["Name"] for grade in gauge.text["Grades"]]
    tenants = [account["Name"] for account in gauge.text["Accounts"]]
    heard: list[tuple[str, str, int, int]] = []

    class Noted(Gateway):
        """Notes how its settings name what a request's fields say: its memory tells the class, its work the tenant."""

        def handle(self, now: float, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.Request):
                cls, tenant = self.settings.classes[event.cls].name, self.settings.tenants[event.tenant]
                heard.append((cls, tenant, round(event.memory_estimate), round((event.cost or 0) * 1e3)))
            return super().handle(now, event)

    monkeypatch.setattr(module_versions, "Gateway", Noted)
    family = gauge.text["FamilyInfo"]
    turned = {name: list(reversed(family[name])) for name in ("WidthByClass", "ClassWaits", "HoldsTables")}
    other = gauge.text | {
        "Grades": list(reversed(gauge.text["Grades"])),
        "Accounts": list(reversed(gauge.text["Accounts"])),
        "FamilyInfo": family | turned,
    }
    gate = Gatekeeper(tmp_path, gauge.text, gauge.members)
    asked = [
        sites.fields(gauge.text, cls, tenant, 0) | {"heap_mb": cls + 1, "work": tenant + 1}
        for cls in range(len(names))
        for tenant in range(len(tenants))
    ]
    errors: list[int] = []
    stop = threading.Event()

    def ask() -> None:
        client = Client(gate.server.address)
        while not stop.is_set():
            errors.extend(answered(client, one | {"call": f"{next(CALLS):016x}"}) for one in asked)

    threads = [threading.Thread(target=ask, daemon=True) for _ in range(CLIENTS)]
    try:
        for thread in threads:
            thread.start()
        for change in range(CHANGES):
            gate.change(gauge.text if change % 2 else other)
            so_far = len(errors)
            until = time.monotonic() + LIMIT
            while len(errors) < so_far + len(asked) and time.monotonic() < until:
                time.sleep(0.001)
    finally:
        stop.set()
        for thread in threads:
            thread.join(LIMIT)
        gate.close()
    assert errors and not any(errors)  # the names are in both: no request can tell that anything changed
    assert {(names.index(cls) + 1, tenants.index(tenant) + 1) for cls, tenant, _, _ in heard} == {
        (cls, tenant) for _, _, cls, tenant in heard
    }
    for cls, tenant, need, work in heard:
        assert (names.index(cls) + 1, tenants.index(tenant) + 1) == (need, work)


def test_zones_and_kinds_of_the_list_are_read_anew_under_new_settings(tmp_path: Path, gauge: Customer) -> None:
    # an index into the old lists sends a class that is confined to a zone, or bound to a kind, to another
    gate = Gatekeeper(tmp_path, gauge.text, gauge.members)
    family = gauge.text["FamilyInfo"]
    turned = {name: list(reversed(family[name])) for name in ("CoresByKind", "RamOfKindMb")}
    other = gauge.text | {
        "Zones": list(reversed(gauge.text["Zones"])),
        "Kinds": list(reversed(gauge.text["Kinds"])),
        "FamilyInfo": family | turned,
    }
    try:
        for text in (gauge.text, other, gauge.text):
            gate.change(text)
            cores = dict(zip(text["Kinds"], text["FamilyInfo"]["CoresByKind"], strict=True))
            numbers = {told.name: number for number, (told, _) in gate.daemon._engines._engines.items()}
            for told, (zone, kind) in zip(gauge.members, gauge.places, strict=True):
                engine = gate.module().engines[numbers[told["id"]]]
                found = text["Zones"][engine.zone], text["Kinds"][engine.kind], engine.cores
                assert found == (zone, kind, cores[kind])
    finally:
        gate.close()


def test_engines_of_a_zone_that_only_new_settings_know_serve_under_them(
    tmp_path: Path, gauge: Customer, parcel: Customer
) -> None:
    site = Site(tmp_path, gauge)
    try:
        sock, _ = site.coordinator.next(b"follow")
        say_event(sock, 2, parcel.members[0])  # told early: no module of these settings can use it
        site.program.wait_for("engine_unusable")
        client = Client(site.address)
        assert answered(client, sites.fields(gauge.text, 0, 0, next(CALLS))) == 0
        Change(site, parcel)
        early = sites.fields(parcel.text, 0, 0, next(CALLS))
        assert answered(client, early) == 0 and parcel.book.of(early["call"])
        late = parcel.members[1]
        sock, words = site.coordinator.next(b"follow")  # it connects anew, and asks for what follows
        assert words[1] == b"2"
        say_event(sock, 3, late, parcel.members[0] | {"phase": "draining"})  # the list goes on, by the new names
        assert site.program.wait_for("engine_list")["members"][late["id"]] == "READY"
        asked = sites.fields(parcel.text, 2, 0, next(CALLS))
        assert answered(client, asked) == 0
        (want,) = parcel.book.of(asked["call"])
        assert want.address == late["host_port"]
        assert not gauge.book.of(early["call"]) and not gauge.book.of(asked["call"])
    finally:
        site.end()


def say_event(sock: socket.socket, index: int, *members: dict[str, Any]) -> None:
    """A further event, to a follower."""
    points = {"revision": index, "complete": False, "members": members}
    sock.sendall(json.dumps({"index": index, "endpoints": points}).encode() + b"\n")


def allowed(text: dict[str, Any], **changes: Any) -> dict[str, Any]:
    return text | {"Allowed": text["Allowed"] | changes}


def test_connections_keep_the_limits_of_the_settings_in_force(tmp_path: Path, gauge: Customer) -> None:
    gate = Gatekeeper(tmp_path, allowed(gauge.text, Multiplex=8), gauge.members[:1])
    clients = [Client(gate.server.address) for _ in range(2)]

    def together() -> set[socket.socket]:
        """The connections that two requests go on which are open at once."""
        asked = [sites.fields(gauge.text, 1, 0, next(CALLS)) for _ in clients]
        for client, one in zip(clients, asked, strict=True):
            gauge.book.hold(one["call"])
            client.ask(**one)
            gauge.book.attempt(one["call"])
        wants = [gauge.book.attempt(one["call"]) for one in asked]
        for client, want in zip(clients, wants, strict=True):
            want.answer()
            assert len(client.rows()) == 1
        return {want.sock for want in wants}

    try:
        first = together()
        assert len(first) == 1
        gate.change(allowed(gauge.text, Multiplex=1))  # an engine of these settings takes one attempt a connection
        second = together()
        assert len(second) == 2
        gate.change(allowed(gauge.text, Multiplex=8, ConnIdleNs=1))  # its engines close what rests so long
        assert not together() & (first | second)
    finally:
        gate.close()


def test_a_connect_is_given_the_time_of_the_settings_in_force(tmp_path: Path, gauge: Customer) -> None:
    deaf = socket.socket()
    deaf.bind(("127.0.0.1", 0))
    deaf.listen(0)  # it accepts nobody: once its queue is full no connection comes up
    queued = [socket.socket() for _ in range(4)]
    for sock in queued:
        sock.setblocking(False)
        sock.connect_ex(deaf.getsockname())
    host, port = deaf.getsockname()
    members = [sites.engine_member("deaf", f"{host}:{port}", gauge.places[0])]
    gate = Gatekeeper(tmp_path, allowed(gauge.text, ConnectTimeoutNs=15_000 * sites.MS), members)
    try:
        gate.change(allowed(gauge.text, ConnectTimeoutNs=50 * sites.MS))
        client, begun = Client(gate.server.address), time.monotonic()
        assert answered(client, sites.fields(gauge.text, 3, 0, next(CALLS))) not in (0, UNKNOWN)
        assert time.monotonic() - begun < 5  # a few tries of 0.05 s each; one of the first settings takes 15 s
    finally:
        gate.close()
        for sock in (deaf, *queued):
            sock.close()


def sent(decisions: Decisions, settings: api.Settings) -> int:
    """How many of many requests that come at once are sent. Each ends as usual: only what was sent can bind."""
    cls, count = 1, 0
    usual = settings.classes[cls].latency_objective
    for _ in range(COLD_ASKED):
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
def test_a_cold_engine_has_one_budget_whatever_the_settings_in_force(held: bool) -> None:
    # guards the fail-back rule: after SIGHUP each gateway's new module would send its whole share once more
    first = sites.read(sites.settings(GAUGE, Siblings=1))
    second = sites.read(sites.settings(GAUGE, Siblings=1, TickNs=6 * sites.MS))
    decisions = Decisions(first, 1, EnginePool(first.limits))
    if held:
        decisions.register(b"a" * 16, SimpleQueue(), first)  # the first module stays
    decisions.submit(listing(entry(7, started=time.time())))
    before = sent(decisions, first)
    assert 0 < before < COLD_ASKED  # the budget binds
    decisions.replace_settings(second)
    assert sent(decisions, second) <= 1  # the budget grows a little meanwhile
    decisions.submit(delta(entry(8, started=time.time())))  # it starts while there are two modules, or one
    assert sent(decisions, second) in range(before - 1, before + 2)
    assert sent(decisions, first) <= 1  # requests still read under the first


@pytest.mark.parametrize("gateways", [1, 3, 200])
def test_a_cold_engine_has_one_budget_over_many_changes_in_quick_succession(gateways: int) -> None:
    # new configurations come in series, inside the window of an engine's slow start
    settings = [sites.read(sites.settings(GAUGE, Siblings=gateways, TickNs=tick * sites.MS)) for tick in range(5, 25)]
    once = Decisions(settings[0], 1, EnginePool(settings[0].limits))
    once.submit(listing(entry(7, started=time.time())))
    usual = sum(sent(once, settings[0]) for _ in settings)
    assert usual or gateways > 1
    decisions = Decisions(settings[0], 1, EnginePool(settings[0].limits))
    decisions.submit(listing(entry(7, started=time.time())))
    count = sent(decisions, settings[0])
    for changed in settings[1:]:
        decisions.replace_settings(changed)
        count += sent(decisions, changed)
    assert count <= usual + 1


def extra(decisions: Decisions, settings: api.Settings) -> int:
    """How many further attempts a request gets whose attempts are all reset."""
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


def test_further_attempts_are_rationed_over_a_change_of_settings() -> None:
    # guards the seventh rule: its span looks back over the gateway's attempts, whichever module made them
    text = sites.settings(GAUGE, Siblings=1)
    ration = {"ExtraFree": 3.0, "ExtraPerRequest": 0.0, "BudgetSpanNs": 60_000 * sites.MS}
    first = sites.read(text | {"Contract": text["Contract"] | ration})
    second = sites.read(text | {"Contract": text["Contract"] | ration, "TickNs": 6 * sites.MS})
    decisions = Decisions(first, 1, EnginePool(first.limits))
    decisions.submit(listing(entry(7), entry(8), entry(9)))
    assert sum(extra(decisions, first) for _ in range(5)) == 3
    decisions.replace_settings(second)
    assert sum(extra(decisions, second) for _ in range(5)) == 0


def with_deadlines(text: dict[str, Any], ms: int) -> dict[str, Any]:
    return text | {"Grades": [grade | {"DeadlineNs": ms * sites.MS} for grade in text["Grades"]]}


@pytest.mark.parametrize(
    "deadlines",
    [(20_000, None, 200), (200, 20_000, None), (200, 20_000, None, 200)],
    ids=["start", "in force", "between"],
)
def test_a_drain_waits_for_the_longest_deadline_that_binds_a_request(
    tmp_path: Path, gauge: Customer, deadlines: tuple[int | None, ...]
) -> None:
    # settings by their longest deadline, in the order in which they come into force; the request comes at None
    text = gauge.text
    gauge.text = with_deadlines(text, deadlines[0] or 0)
    site = Site(tmp_path, gauge)
    try:
        client = Client(site.address)
        asked = sites.fields(text, 0, 0, next(CALLS)) | {"ttl": 20_000}
        gauge.book.hold(asked["call"])
        for ms in deadlines[1:]:
            if ms is None:
                client.ask(**asked)
                want = gauge.book.attempt(asked["call"])
                continue
            gauge.text = with_deadlines(text, ms)
            Change(site, gauge)
        site.program.terminate()
        site.program.wait_for("draining")
        time.sleep(DRAINING)  # past the drain of the shorter deadline, within that of the longer
        want.answer()
        assert len(client.rows()) == 1
    finally:
        site.end()


def test_figures_of_a_customer_leave_with_its_settings(tmp_path: Path, gauge: Customer, parcel: Customer) -> None:
    gate = Gatekeeper(tmp_path, gauge.text, gauge.members + parcel.members)
    try:
        client = Client(gate.server.address)
        asked = sites.fields(gauge.text, 0, 0, next(CALLS))
        assert answered(client, asked) == 0
        held = sites.fields(gauge.text, 1, 0, next(CALLS))
        gauge.book.hold(held["call"])
        client.ask(**held)
        want = gauge.book.attempt(held["call"])
        gate.change(parcel.text)
        want.answer()
        assert len(client.rows()) == 1
        served = {line for line in gate.daemon.metrics.statsd_lines().decode().split() if ".ok." in line}
        # what was open under older settings counts under no class of the new
        assert served == {f"app.ok.{name}:0|c" for name in parcel.names}
        gate.change(gauge.text)
        assert f"app.ok.{asked['op']}:0|c" in gate.daemon.metrics.statsd_lines().decode()  # not where it stood before
    finally:
        gate.close()


def test_the_log_tells_of_new_settings_once_requests_are_read_under_them(
    tmp_path: Path, gauge: Customer, parcel: Customer, monkeypatch: pytest.MonkeyPatch
) -> None:
    gate = Gatekeeper(tmp_path, gauge.text, gauge.members)
    told: list[bool] = []
    event = log.event

    def heard(name: str, **fields: Any) -> None:
        if name == "settings_changed":
            told.append(gate.server.settings.classes[0].name in parcel.names)
        event(name, **fields)

    monkeypatch.setattr(log, "event", heard)
    try:
        gate.change(parcel.text)
        assert told == [True]
    finally:
        gate.close()


def test_settings_that_forbid_the_peers_are_turned_down_where_their_link_is_on(tmp_path: Path, gauge: Customer) -> None:
    gate = Gatekeeper(tmp_path, allowed(gauge.text, Peers=True), gauge.members)
    try:
        gate.daemon._peering = cast(Peering, SimpleNamespace(feed=None))  # the link, as far as a change asks for it
        before = gate.server.settings
        with pytest.raises(ConfigError, match="Allowed.Peers"):
            gate.change(allowed(gauge.text, Peers=False))
        assert gate.server.settings is before
        gate.change(allowed(gauge.text, Peers=True, MaxAttempts=2))
        assert gate.server.settings.limits.max_attempts == 2
    finally:
        gate.close()


@pytest.mark.parametrize("on", ["levels", "gossip", "rules"])
def test_a_change_is_turned_down_where_what_is_on_is_bound_to_the_settings(
    tmp_path: Path, gauge: Customer, parcel: Customer, on: str
) -> None:
    gate = Gatekeeper(tmp_path, gauge.text, gauge.members + parcel.members)
    try:
        if on == "levels":
            gate.daemon._host_load = cast(HostLoadMonitor, SimpleNamespace(record_dispatch_delay=lambda seconds: None))
        elif on == "gossip":
            gate.daemon._gossip = cast(GossipService, object())
        else:
            gate.daemon.put_in_force(None, None, None, 3)
        before = gate.server.settings
        with pytest.raises(ConfigError, match="rules propose" if on == "rules" else "restart"):
            gate.change(parcel.text)
        assert gate.server.settings is before
        assert answered(Client(gate.server.address), sites.fields(gauge.text, 1, 0, next(CALLS))) == 0
    finally:
        gate.close()


def test_threads_are_bounded_by_the_gateways_of_the_settings_in_force(tmp_path: Path, gauge: Customer) -> None:
    few, many = gauge.text | {"Siblings": 3}, gauge.text | {"Siblings": 200}
    gate = Gatekeeper(tmp_path, few, gauge.members)
    try:
        before = gate.server._max_threads
        gate.change(many)
        assert gate.server._max_threads == gate._load(many).max_threads < before
    finally:
        gate.close()


def test_a_timer_of_older_settings_reaches_no_module_of_newer_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    fired: list[tuple[int, int]] = []

    class Noted(Gateway):
        def handle(self, now: float, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.TimerFired):
                fired.append((self.settings.classes[0].threads, event.token))
            return super().handle(now, event)

    monkeypatch.setattr(module_versions, "Gateway", Noted)
    old, new = make_settings(classes=(request_class(threads=1),)), make_settings(classes=(request_class(threads=2),))
    decisions = Decisions(old, 1, EnginePool(old.limits))
    number = decisions.register(b"a" * 16, SimpleQueue(), old)
    decisions.replace_settings(new)
    decisions._on_timers([(9, 0), (11, 1)])
    decisions.unregister(number, b"a" * 16)
    decisions.forget(number)
    decisions._on_timers([(13, 0), (15, 1)])  # the old module has gone with its last request
    assert fired == [(1, 9), (2, 11), (2, 15)]
