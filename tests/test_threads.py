"""Thread starts that the system refuses: every request still gets its complete answer."""

from __future__ import annotations

import itertools
import json
import socket
import threading
from collections.abc import Iterator
from pathlib import Path
from queue import SimpleQueue

import pytest

from tealwing import threads
from tealwing.config import load
from tealwing.connection_reader import ConnectionReader
from tealwing.gateway.daemon import Daemon
from tealwing.mysql import packets
from tealwing.mysql import server as server_module
from tealwing.mysql.server import Server
from tealwing.resp.connection import Answer
from tealwing.resp.engine import Engine
from tealwing.resp.errors import ConnectError
from tests.build import make_settings
from tests.peers import LIMIT, SETTINGS, Client, Peer, event, member, request, say

CLIENTS = 40  # clients with an open request each, at once: many more than the server keeps free threads
PAGE = b"a\tb\tc\n"


class Refuser:
    """Refuses every second start of the named threads, beginning with the first: a shortage that comes and goes."""

    def __init__(self, *names: str) -> None:
        self.names, self.asked, self.refused = names, itertools.count(), 0

    def __call__(self, name: str) -> bool:
        if name not in self.names or next(self.asked) % 2 == 1:
            return False
        self.refused += 1
        return True


@pytest.fixture
def gateway(tmp_path: Path) -> Iterator[tuple[Server, Peer]]:
    engine = Peer()
    known = {"index": 1, "updates": [event(1, member("s-1", engine.address))]}
    config = {"name": "n0", "listen": "127.0.0.1:0", "seed": "1f", "coordinator": "127.0.0.1:1"}
    (tmp_path / "config.json").write_text(json.dumps(config | {"known": known, "settings": SETTINGS}))
    loaded = load({"LB_CONFIG": str(tmp_path / "config.json")})
    daemon = Daemon(loaded)
    server = Server(loaded.listen, loaded.max_clients, loaded.settings, daemon.open)
    daemon.start()
    server.start()
    yield server, engine
    threads.refuse = None
    server.stop_listening()
    server.finish(LIMIT)
    engine.listener.close()


def answer_attempts(engine: Peer, stop: threading.Event) -> None:
    """Answer every attempt that reaches the engine with one page."""
    while not stop.is_set():
        try:
            sock, parts = engine.got.get(timeout=0.05)
        except Exception:
            continue
        if parts[0] == b"want":
            say(sock, parts[1], b"200", b"sheets=1", PAGE)


def test_every_request_gets_complete_answer_when_threads_are_refused(gateway: tuple[Server, Peer]) -> None:
    # guards against lost answers, seen in a long run: the system refused threads, and requests went unanswered
    server, engine = gateway
    refuser = Refuser("session")
    threads.refuse = refuser
    stop = threading.Event()
    serving = threading.Thread(target=answer_attempts, args=(engine, stop), daemon=True)
    commands = [packets.packet(0, b"\x03" + request(call=f"{number:016x}")) for number in range(CLIENTS)]
    # each client sends its request with its login, because a client without a thread gets no greeting
    clients = [login_and_ask(server.address, command) for command in commands]
    serving.start()
    answers = {"rows": 0, "errors": 0}
    try:
        for client in clients:
            for _ in range(2):
                client.read()  # the greeting and the answer to the login
            payload = client.read()  # raises EOFError if the connection was closed without an answer
            answers["errors" if payload[:1] == b"\xff" else "rows"] += 1
            if payload[:1] != b"\xff":
                while client.read() != packets.eof():
                    pass
                while client.read() != packets.eof():
                    pass
    finally:
        stop.set()
        serving.join(LIMIT)
        for client in clients:
            client.sock.close()
    assert refuser.refused > 0  # the failure did occur
    assert answers == {"rows": CLIENTS, "errors": 0}  # the clients wait up to 20 s each for a free thread


def login_and_ask(address: tuple[str, int], command: bytes) -> Client:
    """Return a client that has sent its login and a command, and has read nothing."""
    client = Client.__new__(Client)
    client.sock = socket.create_connection(address, LIMIT)
    login = (0xA20D).to_bytes(4, "little") + bytes(28) + b"app\0\0reports\0"
    client.sock.sendall(packets.packet(1, login) + command)
    client.parser = packets.Parser()
    return client


def test_connect_fails_when_reader_thread_is_refused() -> None:
    # guards against a session that closed its client's connection without an answer when the reader was refused
    engine = Peer()
    threads.refuse = lambda name: name == "engine-reader"
    host, _, port = engine.address.rpartition(":")
    reader = ConnectionReader()
    engine_client = Engine((host, int(port)), 8, 1.0, 30.0, reader.watch)
    try:
        with pytest.raises(ConnectError, match="no thread reads"):
            engine_client.send(b"1" * 16, lambda: b"-", b"SELECT 1", lambda item: None, 5.0)
        threads.refuse = None
        received: SimpleQueue[object] = SimpleQueue()
        engine_client.send(b"1" * 16, lambda: b"-", b"SELECT 1", received.put, 5.0)
        sock, parts = engine.next(b"want")
        say(sock, parts[1], b"200", b"sheets=1", PAGE)
        assert isinstance(received.get(timeout=LIMIT), Answer)
    finally:
        threads.refuse = None
        engine.listener.close()


def test_series_of_refused_thread_starts_is_logged_once(capsys: pytest.CaptureFixture[str]) -> None:
    threads.refuse = lambda name: True
    try:
        for _ in range(5):
            with pytest.raises(threads.ThreadUnavailableError):
                threads.start(lambda: None, "probe")
    finally:
        threads.refuse = None
    threads.start(lambda: None, "probe")
    lines = [json.loads(line)["event"] for line in capsys.readouterr().out.splitlines()]
    assert lines.count("thread_refused") == 1
    assert lines.count("threads_again") == 1


def test_idle_clients_do_not_occupy_threads(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    # guards against requests with 0 attempts, seen in a long run: idle clients occupied all threads
    capsys.readouterr()
    from tests.test_server import ping, refuse

    monkeypatch.setattr(server_module, "FREE_THREADS", (2, 2))
    started = itertools.count()
    threads.refuse = lambda name: name == "session" and next(started) >= 2  # two session threads are started, then none
    mysql_server = Server(("127.0.0.1", 0), 64, make_settings(), refuse)
    mysql_server.start()
    try:
        staying = [Client(mysql_server.address) for _ in range(20)]
        for client in staying * 2:  # if each held a thread, the third would wait for another's idle timeout of 60 s
            ping(client)
        events = [json.loads(line)["event"] for line in capsys.readouterr().out.splitlines()]
        assert events.count("thread_refused") == 1  # one line for the series, not one per connection
    finally:
        threads.refuse = None
        mysql_server.stop_listening()
        mysql_server.finish(LIMIT)
