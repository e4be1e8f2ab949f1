"""A machine short of tasks: threads that can't be started cost no request its whole answer."""

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
from tealwing.resp.engine import Answer, ConnectError, Engine
from tests.build import make_settings
from tests.peers import LIMIT, SETTINGS, Client, Peer, event, member, request, say

CLIENTS = 40  # with a request open each, at once: many more than the server keeps free threads for
PAGE = b"a\tb\tc\n"


class Refuser:
    """Refuses the first start of the threads named, and every second after: short now and then, not for good."""

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


def answer_engine(engine: Peer, stop: threading.Event) -> None:
    """Serve every attempt that reaches the engine, with one page."""
    while not stop.is_set():
        try:
            sock, parts = engine.got.get(timeout=0.05)
        except Exception:
            continue
        if parts[0] == b"want":
            say(sock, parts[1], b"200", b"sheets=1", PAGE)


def test_every_request_has_its_whole_answer_when_threads_are_refused(gateway: tuple[Server, Peer]) -> None:
    # guards the standing test's lost answers: a machine short of tasks refused threads, and requests went unanswered
    server, engine = gateway
    refuser = Refuser("session")
    threads.refuse = refuser
    stop = threading.Event()
    serving = threading.Thread(target=answer_engine, args=(engine, stop), daemon=True)
    asks = [packets.packet(0, b"\x03" + request(call=f"{number:016x}")) for number in range(CLIENTS)]
    clients = [ask_at_once(server.address, ask) for ask in asks]  # each asks as it logs in: no thread, no greeting
    serving.start()
    answers = {"rows": 0, "errors": 0}
    try:
        for client in clients:
            for _ in range(2):
                client.read()  # the greeting, and the login's answer
            payload = client.read()  # EOFError where the connection was ended with no answer
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
    assert refuser.refused > 0  # the failure was caused, not hoped for
    assert answers == {"rows": CLIENTS, "errors": 0}  # 20 s each: they wait in turn for a free thread


def ask_at_once(address: tuple[str, int], also: bytes) -> Client:
    """A client that has written its login and a command, and has read nothing."""
    client = Client.__new__(Client)
    client.sock = socket.create_connection(address, LIMIT)
    login = (0xA20D).to_bytes(4, "little") + bytes(28) + b"app\0\0reports\0"
    client.sock.sendall(packets.packet(1, login) + also)
    client.parser = packets.Parser()
    return client


def test_an_engine_connection_that_nobody_reads_is_a_failed_connect() -> None:
    # guards the session against a refused reader: it ended its client's connection with no answer
    engine = Peer()
    threads.refuse = lambda name: name == "engine-reader"
    host, _, port = engine.address.rpartition(":")
    reader = ConnectionReader()
    one = Engine((host, int(port)), 8, 1.0, 30.0, reader.watch)
    try:
        with pytest.raises(ConnectError, match="nobody reads"):
            one.send(b"1" * 16, lambda: b"-", b"SELECT 1", lambda item: None, 5.0)
        threads.refuse = None
        heard: SimpleQueue[object] = SimpleQueue()
        one.send(b"1" * 16, lambda: b"-", b"SELECT 1", heard.put, 5.0)
        sock, parts = engine.next(b"want")
        say(sock, parts[1], b"200", b"sheets=1", PAGE)
        assert isinstance(heard.get(timeout=LIMIT), Answer)
    finally:
        threads.refuse = None
        engine.listener.close()


def test_a_refused_start_is_logged_once_an_episode(capsys: pytest.CaptureFixture[str]) -> None:
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


def test_a_client_finds_a_thread_when_none_can_be_started(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    # guards the standing test's requests of 0 attempts: clients between commands held every thread there was
    capsys.readouterr()
    from tests.test_server import ping, refuse

    monkeypatch.setattr(server_module, "FREE_THREADS", (2, 2))
    started = itertools.count()
    threads.refuse = lambda name: name == "session" and next(started) >= 2  # two session threads, then none
    few = Server(("127.0.0.1", 0), 64, make_settings(), refuse)
    few.start()
    try:
        staying = [Client(few.address) for _ in range(20)]
        for client in staying * 2:  # with a thread for each, the third would wait until another's 60 s are over
            ping(client)
        events = [json.loads(line)["event"] for line in capsys.readouterr().out.splitlines()]
        assert events.count("thread_refused") == 1  # one line an episode, not one a connection
    finally:
        threads.refuse = None
        few.stop_listening()
        few.finish(LIMIT)
