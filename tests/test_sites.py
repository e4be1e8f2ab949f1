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
from typing import Any

import pytest

from tealwing import interface as api
from tealwing import log
from tealwing.config import Config, load
from tealwing.exchange import Query
from tealwing.gateway import standing, versions
from tealwing.gateway.daemon import Daemon
from tealwing.gateway.decisions import Decisions
from tealwing.gateway.life import Life
from tealwing.mysql.server import Server
from tealwing.policy import Gateway
from tealwing.resp.engines import Engines
from tealwing.service import renew
from tests import sites
from tests.build import delta, entry, listing, make_settings, request_class
from tests.peers import LIMIT, Client, Coordinator, Program

GAUGE, PARCEL = sites.VARIANTS
UNKNOWN, FAILED, INTERRUPTED = 1210, 1105, 1317  # errors: a request that can't be read, failed, was killed
CLIENTS = 6  # under load
LATENESS = 250  # ms of a client's time that the gateway may keep for its own
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
    assert {c.effect for c in one.classes} == {c.effect for c in other.classes} == set(api.Effect)
    for mine, theirs in zip(one.classes, other.classes, strict=False):  # an index that strays changes the effect
        assert mine.effect is not theirs.effect and mine.deadline != theirs.deadline and mine.worth != theirs.worth
    assert one.limits.multiplex != other.limits.multiplex and one.limits.max_attempts != other.limits.max_attempts
    assert one.rules != other.rules and one.prices != other.prices and one.report_fields != other.report_fields
    for settings in (one, other):
        assert sum(account.share for account in settings.accounts) == pytest.approx(1.0)
        assert {kind.name for kind in one.kinds} != {kind.name for kind in other.kinds}


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
            assert asked["ttl"] - LATENESS - 1000 <= want.ttl <= asked["ttl"]
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


class Gatekeeper:
    """The gateway within this process: its settings change as a test says, at the very point that it says."""

    def __init__(self, folder: Path, text: dict[str, Any], members: list[dict[str, Any]]) -> None:
        self.folder, self.members = folder, members
        self.before_open: list[dict[str, Any]] = []  # settings that come into force as a request has been read
        first = self._load(text)
        self.daemon = Daemon(first)
        self.server = Server(first.listen, first.most_clients, first.settings, self._open, None, first.most_threads)
        self.daemon.on_settings = lambda settings: renew(self.server, first, settings)
        self.daemon.start()
        self.server.start()

    def change(self, text: dict[str, Any]) -> None:
        self.daemon.reconfigure(self._load(text))

    def module(self) -> Gateway:
        found = standing.behind(self.daemon._decisions.module)
        assert found is not None
        return found

    def close(self) -> None:
        self.server.stop_listening()
        self.server.finish(LIMIT)

    def _load(self, text: dict[str, Any]) -> Config:
        return load({"LB_CONFIG": str(sites.configuration(self.folder, text, self.members))})

    def _open(self, query: Query, settings: api.Settings) -> Life:
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
                heard.append((cls, tenant, round(event.need), round((event.cost or 0) * 1e3)))
            return super().handle(now, event)

    monkeypatch.setattr(versions, "Gateway", Noted)
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
    usual = settings.classes[cls].aim
    for _ in range(COLD_ASKED):
        mailbox: SimpleQueue[Any] = SimpleQueue()
        call = b"%016x" % next(CALLS)
        number = decisions.enter(call, mailbox, settings)
        decisions.submit(api.Request(number, cls, settings.classes[cls].deadline, 1.0, None, 0, 0, 0.0))
        while not mailbox.empty():
            action = mailbox.get()
            if isinstance(action, api.Send):
                count += 1
                decisions.submit(api.Outcome(number, 0, action.engine, api.Result.OK, usual, True))
        decisions.leave(number, call)
        decisions.forget(number)
    return count


@pytest.mark.parametrize("held", [False, True])
def test_a_cold_engine_has_one_budget_whatever_the_settings_in_force(held: bool) -> None:
    # guards the fail-back rule: after SIGHUP each gateway's new module would send its whole share once more
    first = sites.read(sites.settings(GAUGE, Siblings=1))
    second = sites.read(sites.settings(GAUGE, Siblings=1, TickNs=6 * sites.MS))
    decisions = Decisions(first, 1, Engines(first.limits))
    if held:
        decisions.enter(b"a" * 16, SimpleQueue(), first)  # the first module stays
    decisions.submit(listing(entry(7, started=time.time())))
    before = sent(decisions, first)
    assert 0 < before < COLD_ASKED  # the budget binds
    decisions.renew(second)
    assert sent(decisions, second) <= 1  # the budget grows a little meanwhile
    decisions.submit(delta(entry(8, started=time.time())))  # it starts while there are two modules, or one
    assert sent(decisions, second) in range(before - 1, before + 2)
    assert sent(decisions, first) <= 1  # requests still read under the first


def extra(decisions: Decisions, settings: api.Settings) -> int:
    """How many further attempts a request gets whose attempts are all reset."""
    mailbox: SimpleQueue[Any] = SimpleQueue()
    number = decisions.enter(b"%016x" % next(CALLS), mailbox, settings)
    decisions.submit(api.Request(number, 1, settings.classes[1].deadline, 1.0, None, 0, 0, 0.0))
    attempts = 0
    while not mailbox.empty():
        action = mailbox.get()
        if isinstance(action, api.Send):
            decisions.submit(api.Outcome(number, attempts, action.engine, api.Result.RESET, 0.01, False))
            attempts += 1
    return max(0, attempts - 1)


def test_further_attempts_are_rationed_over_a_change_of_settings() -> None:
    # guards the seventh rule: its span looks back over the gateway's attempts, whichever module made them
    text = sites.settings(GAUGE, Siblings=1)
    ration = {"ExtraFree": 3.0, "ExtraPerRequest": 0.0, "BudgetSpanNs": 60_000 * sites.MS}
    first = sites.read(text | {"Contract": text["Contract"] | ration})
    second = sites.read(text | {"Contract": text["Contract"] | ration, "TickNs": 6 * sites.MS})
    decisions = Decisions(first, 1, Engines(first.limits))
    decisions.submit(listing(entry(7), entry(8), entry(9)))
    assert sum(extra(decisions, first) for _ in range(5)) == 3
    decisions.renew(second)
    assert sum(extra(decisions, second) for _ in range(5)) == 0


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
        served = {line for line in gate.daemon.figures.lines().decode().split() if ".ok." in line}
        # what was open under older settings counts under no class of the new
        assert served == {f"app.ok.{name}:0|c" for name in parcel.names}
        gate.change(gauge.text)
        assert f"app.ok.{asked['op']}:0|c" in gate.daemon.figures.lines().decode()  # not where it stood before
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


def test_threads_are_bounded_by_the_gateways_of_the_settings_in_force(tmp_path: Path, gauge: Customer) -> None:
    few, many = gauge.text | {"Siblings": 3}, gauge.text | {"Siblings": 200}
    gate = Gatekeeper(tmp_path, few, gauge.members)
    try:
        before = gate.server._most_threads
        gate.change(many)
        assert gate.server._most_threads == gate._load(many).most_threads < before
    finally:
        gate.close()


def test_a_timer_of_older_settings_reaches_no_module_of_newer_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    fired: list[tuple[int, int]] = []

    class Noted(Gateway):
        def handle(self, now: float, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.TimerFired):
                fired.append((self.settings.classes[0].threads, event.token))
            return super().handle(now, event)

    monkeypatch.setattr(versions, "Gateway", Noted)
    old, new = make_settings(classes=(request_class(threads=1),)), make_settings(classes=(request_class(threads=2),))
    decisions = Decisions(old, 1, Engines(old.limits))
    number = decisions.enter(b"a" * 16, SimpleQueue(), old)
    decisions.renew(new)
    decisions._fire([(9, 0), (11, 1)])
    decisions.leave(number, b"a" * 16)
    decisions.forget(number)
    decisions._fire([(13, 0), (15, 1)])  # the old module has gone with its last request
    assert fired == [(1, 9), (2, 11), (2, 15)]
