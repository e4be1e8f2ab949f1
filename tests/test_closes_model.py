"""Sessions under random sequences of input, closes, KILLs, stops, evictions and answers: one answer each, or none owed.

Races are not forced: hypothesis chooses the order of the rules, the scheduler that of the threads, and the assertions
hold for every order.
"""

from __future__ import annotations

import gc
import os
import threading
from dataclasses import dataclass, field

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from tealwing.mysql import session, statements
from tests.peers import LIMIT, Client
from tests.test_closes import KILL, QUERY, Rig, query, read_call, reset, until

INTERRUPTED = 1317
CLIENTS = 4


@dataclass(eq=False)
class ClientRecord:
    """A client, and what it and others have done with its connection."""

    client: Client
    batches: list[list[str]] = field(default_factory=list)  # request ids; a batch holds those completed by one write
    rest: bytes = b""  # the unsent rest of an incomplete command
    incomplete: str = ""  # the request id of that command
    gone: bool = False  # the client has closed its connection
    ended: bool = False  # the gateway may have closed it, by a stop or an eviction
    killed: bool = False
    interrupted: int = 0  # number of KILL QUERYs


class Sessions(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        gc.collect()  # descriptors of earlier tests that wait for the collector must not count
        self.before = len(os.listdir("/proc/self/fd")), threading.active_count()
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(statements, "parse_query", read_call)
        for name in ("FIRST_LIMIT", "PACKET_LIMIT"):  # no time limit may expire in this test
            self.patch.setattr(session, name, LIMIT)
        self.rig = Rig(32)
        self.kept: list[ClientRecord] = []
        self.calls: list[str] = []

    def call(self) -> str:
        call = f"c{len(self.calls)}e"
        self.calls.append(call)
        self.rig.hold(call)
        return call

    @initialize()
    def first(self) -> None:
        self.connect()

    @precondition(lambda self: len(self.kept) < CLIENTS)
    @rule()
    def connect(self) -> None:
        self.kept.append(ClientRecord(Client(self.rig.address)))

    @rule(at=st.integers(0, CLIENTS), commands=st.integers(1, 3), half=st.booleans())
    def send(self, at: int, commands: int, half: bool) -> None:
        one = self.kept[at % len(self.kept)]
        if one.gone:
            return
        calls = [self.call() for _ in range(commands)]
        data = one.rest + b"".join(map(query, calls))
        one.batches.append(([one.incomplete] if one.incomplete else []) + calls)
        one.rest, one.incomplete = b"", ""
        if half:
            one.incomplete = self.call()
            data, one.rest = data + query(one.incomplete)[:7], query(one.incomplete)[7:]
        self.write(one, data)

    def write(self, one: ClientRecord, data: bytes) -> None:
        try:
            one.client.sock.sendall(data)
        except OSError:
            assert one.ended or one.killed

    @rule(at=st.integers(0, 40))
    def engine_answers(self, at: int) -> None:
        if self.calls:
            self.rig.held[self.calls[at % len(self.calls)]].set()

    @rule(at=st.integers(0, CLIENTS), hard=st.booleans())
    def client_ends(self, at: int, hard: bool) -> None:
        one = self.kept[at % len(self.kept)]
        if one.gone:
            return
        one.gone = True
        if hard:
            reset(one.client.sock)
        else:
            one.client.sock.close()

    @rule(at=st.integers(0, CLIENTS), query_only=st.booleans())
    def kill(self, at: int, query_only: bool) -> None:
        one = self.kept[at % len(self.kept)]
        if query_only:
            one.interrupted += 1
        else:
            one.killed = True
        killer = Client(self.rig.address)
        if query_only:
            killer.send(QUERY, b"KILL QUERY %d" % one.client.id)
        else:
            killer.send(KILL, one.client.id.to_bytes(4, "little"))
        assert killer.read()
        killer.sock.close()

    @rule(at=st.integers(0, CLIENTS), evict=st.booleans())
    def gateway_ends(self, at: int, evict: bool) -> None:
        one = self.kept[at % len(self.kept)]
        ours = self.rig.server.session(one.client.id)
        one.ended = True
        if ours is not None:
            if evict:
                ours.evict()
            else:
                ours.stop()

    def teardown(self) -> None:
        try:
            self.settle()
        finally:
            self.patch.undo()

    def settle(self) -> None:
        """Answer all open requests, end the gateway, and compare what each client received with its record."""
        for held in self.rig.held.values():
            held.set()
        for one in self.kept:
            if not (one.batches or one.gone):  # otherwise the gateway would wait for its first command
                one.client.sock.close()
                one.gone = True
            if one.incomplete and not one.gone:
                self.write(one, one.rest)
                one.batches.append([one.incomplete])
        for one in self.kept:
            if not (one.gone or one.ended or one.killed):  # all of its requests must be answered
                asked = {call for batch in one.batches for call in batch}
                until(lambda asked=asked: asked <= set(self.rig.opened))  # type: ignore[misc]
        ending = threading.Thread(target=self.rig.end)
        ending.start()
        for one in self.kept:
            if not one.gone:
                self.check(one)
        ending.join(LIMIT)
        assert not ending.is_alive() and self.rig.server._over.is_set()
        self.rig.wait_until_empty()
        assert len(self.rig.opened) == len(set(self.rig.opened))
        until(lambda: (len(os.listdir("/proc/self/fd")), threading.active_count()) == self.before)

    def check(self, one: ClientRecord) -> None:
        got, interrupted = self.answers(one.client)
        asked = [call for batch in one.batches for call in batch]
        opened = [call for call in asked if call in self.rig.opened]
        # each request is answered at most once, in order
        assert [call for call in got if call] == [call for call in asked if call in got]
        if not one.killed:
            assert len(got) >= len(opened)  # every opened request has an answer
            assert interrupted <= one.interrupted
            for batch in one.batches:  # a batch is answered completely or not opened at all
                if not one.interrupted:
                    assert all(call in got for call in batch) or (one.ended and not any(c in opened for c in batch))
        if not (one.killed or one.ended):
            assert len(got) == len(asked)

    def answers(self, client: Client) -> tuple[list[str], int]:
        """Read to the end; return the ids of the answers, "" for an interrupted one, and the number of those."""
        got: list[str] = []
        client.sock.settimeout(LIMIT)
        try:
            while True:
                head = client.read()
                if head[0] == 0xFF:
                    assert int.from_bytes(head[1:3], "little") == INTERRUPTED
                    got.append("")
                    continue
                assert head == b"\x03"
                ends, row = 0, b""
                while ends < 2:
                    payload = client.read()
                    ends += payload[0] == 0xFE
                    row = payload if ends == 1 and payload[0] != 0xFE else row
                got.append(row[1 : 1 + row[0]].decode())
        except (EOFError, ConnectionResetError):
            assert not client.parser.begun
        client.sock.close()
        return got, got.count("")


Sessions.TestCase.settings = settings(max_examples=60, stateful_step_count=14, deadline=None, derandomize=True)
TestSessions = Sessions.TestCase
