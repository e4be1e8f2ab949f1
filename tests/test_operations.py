"""Daily operation: the admin address, its metrics, reloads, and two servers on one inherited listening socket."""

from __future__ import annotations

import json
import os
import socket
import threading
import time
from pathlib import Path
from queue import SimpleQueue

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tealwing import interface as api
from tealwing.admin import http, metrics
from tealwing.admin.server import THREADS, AdminServer
from tealwing.config import ConfigError, load
from tealwing.exchange import InvalidRequestError
from tealwing.gateway.decisions import Decisions
from tealwing.mysql import packets, server
from tealwing.policy import Gateway
from tealwing.resp.engine_pool import EnginePool
from tests.build import entry, listing, make_settings
from tests.peers import GRADE, LIMIT, SETTINGS, Client, event, member, request, say
from tests.test_program import PAGE, Site
from tests.test_server import refuse

GET = b"GET /ops/readiness HTTP/1.1\r\nHost: gateway\r\n\r\n"


def ask(address: tuple[str, int], data: bytes) -> bytes:
    """Send data on a new connection; return the whole response."""
    with socket.create_connection(address, LIMIT) as sock:
        sock.sendall(data)
        got = b""
        while part := sock.recv(4096):
            got += part
        return got


def status(answer: bytes) -> int:
    return int(answer.split(b" ", 2)[1])


def test_request_head_is_complete_only_at_its_blank_line() -> None:
    assert http.end_of_head(GET[:-1]) == 0
    assert http.end_of_head(GET + b"rest") == len(GET)
    assert http.parse_request(GET) == http.HttpRequest("GET", "/ops/readiness")
    with pytest.raises(http.BadRequestError):
        http.end_of_head(b"G" * (http.MAX_HEAD_BYTES + 1))


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=200))
def test_garbage_is_a_bad_request_never_a_crash(data: bytes) -> None:
    try:
        found = http.parse_request(data)
    except http.BadRequestError:
        return
    assert found.path.startswith("/")


@pytest.fixture
def admin() -> AdminServer:
    counts = metrics.Metrics(["lookup"])
    counts.gauges = lambda: {"active": 2}
    admin = AdminServer(("127.0.0.1", 0), lambda: True, counts.statsd_lines)
    admin.start()
    return admin


def test_admin_calls_and_invalid_ones_get_their_status(admin: AdminServer) -> None:
    assert status(ask(admin.address, GET)) == 200
    stats = ask(admin.address, b"GET /ops/stats HTTP/1.1\r\n\r\n").split(b"\r\n\r\n", 1)[1]
    assert b"app.ok.lookup:0|c\n" in stats and b"app.active:2|g\n" in stats
    assert status(ask(admin.address, b"GET /nowhere HTTP/1.1\r\n\r\n")) == 404
    assert status(ask(admin.address, b"DELETE /ops/stats HTTP/1.1\r\n\r\n")) == 405
    assert status(ask(admin.address, b"hello\r\n\r\n")) == 400
    assert status(ask(admin.address, b"GET /ops/stats HTTP/1.1\r\n" + b"x" * 9000)) == 400


def test_silent_callers_do_not_block_a_readiness_call(admin: AdminServer) -> None:
    silent = [socket.create_connection(admin.address, LIMIT) for _ in range(THREADS + 2)]
    silent[0].sendall(b"GET /ops/rea")  # an incomplete request line
    assert status(ask(admin.address, GET)) == 200
    for sock in silent:  # each gets a 400 at its read limit
        sock.settimeout(LIMIT)
        assert status(sock.recv(4096)) == 400
        sock.close()


def test_counters_of_a_dropped_class_are_dropped() -> None:
    counts = metrics.Metrics(["lookup", "report"])
    counts.count(metrics.OK, "report", 5)
    counts.set_classes(["lookup", "claim"])
    counts.count(metrics.OK, "report")
    counts.count_configuration(True)
    lines = counts.statsd_lines().decode().splitlines()
    assert "app.ok.claim:0|c" in lines and not any(".report:" in line for line in lines)
    assert "app.config_applied:1|c" in lines


def test_stats_answer_while_every_request_waits_for_its_engine(tmp_path: Path) -> None:
    site = Site(tmp_path, admin="127.0.0.1:0")
    try:
        clients = [site.client() for _ in range(3)]
        for number, client in enumerate(clients):
            client.ask(call=f"{number:016x}")
        waiting = [site.engine.next(b"want") for _ in clients]
        figures = stats(site, "app.active:3|g", "app.tries.lookup:3|c")
        assert "app.active:3|g" in figures and "app.tries.lookup:3|c" in figures, figures
        for sock, parts in waiting:
            say(sock, parts[1], b"200", b"sheets=1", PAGE)
        for client in clients:
            assert len(client.rows()) == 2
        figures = stats(site, "app.ok.lookup:3|c", "app.active:0|g")
        assert "app.ok.lookup:3|c" in figures and "app.active:0|g" in figures, figures
    finally:
        assert site.program.end() == ""


def test_inherited_descriptor_that_is_no_listener_is_rejected_by_name(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text('{"name": "n0", "listen": "127.0.0.1:0", "seed": "1", "coordinator": "127.0.0.1:1"}')
    with pytest.raises(ConfigError, match="LB_ACCEPT_FD"):
        load({"LB_CONFIG": str(path), "LB_ACCEPT_FD": "seven"})
    with socket.socket() as plain, pytest.raises(OSError, match="LB_ACCEPT_FD"):
        server.Server(("127.0.0.1", 0), 8, make_settings(), refuse, inherited=plain.fileno())


def test_two_servers_on_one_listening_socket_lose_no_client_when_one_stops() -> None:
    listener = socket.create_server(("127.0.0.1", 0), backlog=256)
    address = listener.getsockname()
    old = server.Server(address, 64, make_settings(), refuse, inherited=os.dup(listener.fileno()))
    new = server.Server(address, 64, make_settings(), refuse, inherited=os.dup(listener.fileno()))
    old.start()
    new.start()
    answered, lost = [0], []

    def clients(count: int) -> None:
        for _ in range(count):
            try:
                client = Client(address)
                client.ask()
                assert client.read()[0] == 0xFF  # the error of `refuse`: the request was read
                client.sock.close()
                answered[0] += 1
            except (OSError, EOFError) as error:
                lost.append(error)

    threads = [threading.Thread(target=clients, args=(60,)) for _ in range(4)]
    for thread in threads:
        thread.start()
    old.stop_listening()  # under load, as at SIGTERM
    assert old.finish(LIMIT)
    for thread in threads:
        thread.join(LIMIT)
    assert not lost and answered[0] == 240
    new.stop_listening()
    new.finish(LIMIT)
    listener.close()


def stats(site: Site, *wanted: str) -> str:
    """Return the metrics once they hold the wanted lines, or at LIMIT: counters lag a little behind their events."""
    host, port = site.program.started["admin"]
    until = time.monotonic() + LIMIT
    while True:
        figures = ask((host, port), b"GET /ops/stats HTTP/1.1\r\n\r\n").decode()
        if all(f"\n{line}\n" in figures for line in wanted) or time.monotonic() > until:
            return figures
        time.sleep(0.02)


def test_dropped_class_finishes_its_open_request_and_a_new_class_is_served(tmp_path: Path) -> None:
    site = Site(tmp_path, admin="127.0.0.1:0")
    try:
        client = site.client()
        client.ask(op="load", call="00000000000000a1", dedupe="5c0f")
        sock, parts = site.engine.next(b"want")  # the request of class load is open while the class is dropped
        grades = [GRADE | {"Name": "lookup"}, GRADE | {"Name": "claim", "Effect": "once"}]
        family = SETTINGS["FamilyInfo"] | {"WidthByClass": [1, 1]}
        changed = SETTINGS | {"Grades": grades, "FamilyInfo": family}
        site.program.reload(json.dumps(site.program.config | {"settings": changed}))
        assert site.program.wait_for("settings_changed")["classes"] == {
            "lookup": "IDEMPOTENT",
            "claim": "NOT_IDEMPOTENT",
        }
        other = site.client()
        other.ask(op="claim", call="00000000000000b2")
        claim, asked = site.engine.next(b"want")
        assert b"lane=claim" in b" ".join(asked)
        say(claim, asked[1], b"200", b"sheets=1", PAGE)
        assert len(other.rows()) == 2
        say(sock, parts[1], b"200", b"sheets=1", PAGE)  # the request of the dropped class ends under its old settings
        assert len(client.rows()) == 2
        site.program.wait_for("settings_retired")
        other.ask(op="load", call="00000000000000c3", dedupe="5c10")
        assert other.error()[0] == 1210  # the class is unknown from now on
        figures = stats(site, "app.ok.claim:1|c", "app.config_applied:1|c")
        assert "app.ok.claim:1|c" in figures and ".load:" not in figures and "app.config_applied:1|c" in figures
    finally:
        assert site.program.end() == ""


@pytest.mark.parametrize(
    "bad",
    ["", '{"name": "n0", "sett', "lacks coordinator", "deadline 0", "attempts 0", "attempts text"],
)
def test_bad_configuration_file_is_rejected_completely_with_one_log_line(tmp_path: Path, bad: str) -> None:
    site = Site(tmp_path, admin="127.0.0.1:0")
    try:
        config = site.program.config
        grades = [GRADE | {"Name": "lookup", "DeadlineNs": 0}, GRADE | {"Name": "load"}]
        allowed = SETTINGS["Allowed"]
        text = {
            "lacks coordinator": json.dumps({key: value for key, value in config.items() if key != "coordinator"}),
            "deadline 0": json.dumps(config | {"settings": SETTINGS | {"Grades": grades}}),
            "attempts 0": json.dumps(config | {"settings": SETTINGS | {"Allowed": allowed | {"MaxAttempts": 0}}}),
            "attempts text": json.dumps(config | {"settings": SETTINGS | {"Allowed": allowed | {"MaxAttempts": "3"}}}),
        }.get(bad, bad)
        site.program.reload(text)
        error = site.program.wait_for("configuration_unusable")["error"]
        assert error.split(":")[0] in ("LB_CONFIG", "coordinator", "settings"), error
        site.program.reload(json.dumps(config))  # applied, without a second log line for the bad file
        assert site.program.wait_for("reconfigured")
        figures = stats(site, "app.config_rejected:1|c", "app.config_applied:1|c")
        assert "app.config_rejected:1|c" in figures and "app.config_applied:1|c" in figures, figures
        client = site.client()
        client.ask()
        sock, parts = site.engine.next(b"want")
        say(sock, parts[1], b"200", b"sheets=1", PAGE)
        assert len(client.rows()) == 2
    finally:
        assert site.program.end() == ""


class Recorder:
    """A decision module that records its events and returns no actions."""

    def __init__(self) -> None:
        self.events: list[object] = []

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.events.append(event)
        return []


def test_events_of_a_request_reach_the_module_of_its_settings_until_it_is_forgotten() -> None:
    # guards the outcome of a send that the request's end overtook: reported after unregister, it went to the new module
    old, new = make_settings(), make_settings()
    decisions = Decisions(old, 1, EnginePool(old.limits))
    decisions.submit(listing(entry(7)))
    recorder = Recorder()
    decisions.change_module(lambda module, now: recorder)
    number = decisions.register(b"a" * 16, SimpleQueue(), old)
    assert decisions.replace_settings(new) == 1 and decisions.settings is new
    with pytest.raises(InvalidRequestError):  # parsed under settings that have no module
        decisions.register(b"b" * 16, SimpleQueue(), make_settings())
    decisions.unregister(number, b"a" * 16)
    late = api.AttemptOutcome(number, 0, 7, api.AttemptResult.NOT_SENT, 0.0, True)
    decisions.submit(late, api.EngineList(api.EngineListKind.DELTA, 2, (entry(8),)))
    assert recorder.events[-2:] == [late, api.EngineList(api.EngineListKind.DELTA, 2, (entry(8),))]
    decisions.forget(number)  # the last request of the old module, which is dropped
    decisions.submit(api.EngineList(api.EngineListKind.DELTA, 3, (entry(9),)))
    assert len(recorder.events) == 2  # the old module gets no more events
    module = decisions.module
    assert isinstance(module, Gateway) and set(module.engines) == {7, 8, 9}


def test_a_request_written_one_byte_at_a_time_is_answered() -> None:
    mysql_server = server.Server(("127.0.0.1", 0), 8, make_settings(), refuse)
    mysql_server.start()
    login = (0xA20D).to_bytes(4, "little") + bytes(28) + b"app\0\0reports\0"
    query = packets.packet(0, b"\x03" + request(op="look"))
    with socket.create_connection(mysql_server.address, LIMIT) as sock:
        for byte in packets.packet(1, login) + query:
            sock.sendall(bytes([byte]))
        parser, got = packets.Parser(), list[bytes]()
        while len(got) < 3:  # greeting, login, answer
            parser.feed(sock.recv(4096))
            while (message := parser.next()) is not None:
                got.append(message[1])
    assert got[1] == packets.ok() and got[2][0] == 0xFF and b"refused" in got[2]
    mysql_server.stop_listening()
    assert mysql_server.finish(LIMIT)


def test_watch_that_breaks_mid_line_resumes_from_the_same_index(tmp_path: Path) -> None:
    site = Site(tmp_path)
    try:
        sock, words = site.coordinator.next(b"follow")
        assert words[1] == b"1"
        line = json.dumps(event(2, member("s-2", "127.0.0.1:1"))).encode() + b"\n"
        sock.sendall(line[: len(line) // 2])  # ends in the middle of a line
        sock.shutdown(socket.SHUT_RDWR)
        sock, words = site.coordinator.next(b"follow")
        assert words[1] == b"1"  # half a line is not applied
        sock.sendall(line)
        assert "s-2" in site.program.wait_for("engine_list")["members"]
    finally:
        assert site.program.end() == ""
