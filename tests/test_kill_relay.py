"""Connection ids, the directory of the processes of one gateway, and the relay of KILLs between them."""

from __future__ import annotations

import fcntl
import os
import threading
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tealwing.mysql.connection_ids import MAX_PROCESS, MAX_SEQUENCE, ConnectionIds, process_of
from tealwing.mysql.kills import KillOutcome
from tealwing.mysql.statements import Kill
from tealwing.upgrade import kill_relay, messages, process_directory
from tealwing.upgrade.kill_relay import KillRelay
from tealwing.upgrade.process_directory import Inbox, ProcessDirectory, ProcessDirectoryError, ProcessGoneError
from tests.peers import LIMIT

NUMBERS = st.integers(0, MAX_PROCESS)
TOKENS = st.integers(0, kill_relay.MAX_TOKEN)
MESSAGES = st.one_of(
    st.builds(messages.KillRequest, NUMBERS, TOKENS, TOKENS, st.booleans(), st.floats(allow_nan=False)),
    st.builds(messages.KillReply, NUMBERS, TOKENS, st.booleans()),
)


@given(st.integers(1, MAX_PROCESS), st.integers(0, MAX_SEQUENCE), st.sets(st.integers(1, 20)))
def test_connection_ids_name_their_process_and_are_not_in_use(process: int, first: int, used: set[int]) -> None:
    taken = {process << 24 | number for number in used}
    ids = ConnectionIds(process, first)
    for _ in range(30):
        found = ids.next(taken.__contains__)
        assert found not in taken and 0 < found <= 0xFFFFFFFF
        assert process_of(found) == process and found & MAX_SEQUENCE
        taken.add(found)


def test_connection_ids_wrap_within_their_process() -> None:
    ids = ConnectionIds(MAX_PROCESS, MAX_SEQUENCE - 1)
    assert [ids.next(lambda _: False) for _ in range(2)] == [0xFFFFFFFF, MAX_PROCESS << 24 | 1]
    with pytest.raises(ValueError, match="256"):
        ConnectionIds(MAX_PROCESS + 1, 0)


@given(st.lists(MESSAGES, max_size=5))
def test_messages_survive_encoding(sent: list[messages.KillRequest | messages.KillReply]) -> None:
    assert messages.decode(b"".join(map(messages.encode, sent))) == sent


@given(st.binary(max_size=3 * messages.SIZE))
def test_garbage_is_a_malformed_message_never_a_crash(data: bytes) -> None:
    try:
        found = messages.decode(data)
    except messages.MalformedMessageError:
        return
    assert b"".join(map(messages.encode, found)) == data


@pytest.fixture
def directory(tmp_path: Path) -> ProcessDirectory:
    return ProcessDirectory(tmp_path / "processes")


def leave(inbox: Inbox) -> None:
    """End like a process that crashes: the kernel closes its inbox, and the FIFO stays."""
    inbox.close()


def test_each_running_process_has_a_number_of_its_own(directory: ProcessDirectory, tmp_path: Path) -> None:
    first, second, third = (directory.register() for _ in range(3))
    assert [first.process, second.process, third.process] == [1, 2, 3]
    leave(second)
    with pytest.raises(ProcessGoneError):
        directory.open_inbox(second.process)
    fourth = directory.register()
    assert fourth.process == 4  # the number of the dead process is not given again at once
    assert sorted(path.name for path in (tmp_path / "processes").glob("inbox-*")) == ["inbox-1", "inbox-3", "inbox-4"]


def test_numbers_wrap_past_those_of_running_processes(directory: ProcessDirectory, tmp_path: Path) -> None:
    first = directory.register()
    (tmp_path / "processes" / process_directory.LOCK_FILE).write_text(str(MAX_PROCESS))
    assert first.process == 1 and directory.register().process == 2


@pytest.mark.parametrize("text", ["", "1", "no number", "999", "\0\0\0"])
def test_spoilt_last_number_gives_no_number_twice(directory: ProcessDirectory, tmp_path: Path, text: str) -> None:
    # a process that crashed while it wrote the number, or a disk that was full
    running = [directory.register().process for _ in range(2)]
    (tmp_path / "processes" / process_directory.LOCK_FILE).write_text(text)
    found = directory.register().process
    assert 1 <= found <= MAX_PROCESS and found not in running


def test_no_number_is_left_once_all_are_in_use(directory: ProcessDirectory, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(process_directory, "MAX_PROCESS", 2)
    inboxes = [directory.register(), directory.register()]
    with pytest.raises(ProcessDirectoryError, match="in use"):
        directory.register()
    leave(inboxes[0])
    assert directory.register().process == 1


def test_directory_that_others_may_write_to_is_rejected(directory: ProcessDirectory, tmp_path: Path) -> None:
    # guards requests against the KILLs of another user of the machine
    (tmp_path / "processes").mkdir()
    (tmp_path / "processes").chmod(0o777)
    with pytest.raises(ProcessDirectoryError, match="this user alone"):
        directory.register()
    (tmp_path / "processes").rmdir()
    (tmp_path / "elsewhere").mkdir(0o700)
    (tmp_path / "processes").symlink_to(tmp_path / "elsewhere")
    with pytest.raises(ProcessDirectoryError, match="this user alone"):
        directory.register()


def test_registration_does_not_wait_for_ever_for_another(
    directory: ProcessDirectory, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    directory.register()
    monkeypatch.setattr(process_directory, "LOCK_LIMIT", 0.0)
    with (tmp_path / "processes" / process_directory.LOCK_FILE).open("r+b") as held:
        fcntl.flock(held, fcntl.LOCK_EX)
        with pytest.raises(ProcessDirectoryError, match="locked"):
            directory.register()
    assert directory.register().process == 2


def test_file_in_place_of_an_inbox_is_no_process(directory: ProcessDirectory, tmp_path: Path) -> None:
    directory.register()
    (tmp_path / "processes" / "inbox-7").write_text("")
    with pytest.raises(ProcessGoneError):
        directory.open_inbox(7)


class Process:
    """One process's relay, with the connections that it has, and the KILLs that were applied to them."""

    def __init__(self, directory: ProcessDirectory, clock: Callable[[], float], started: bool = True) -> None:
        self.inbox = directory.register()
        self.connections = {self.inbox.process << 24 | number for number in (1, 2)}
        self.applied: list[Kill] = []
        self.relay = KillRelay(directory, self.inbox, self.apply, clock)
        if started:
            self.relay.start()

    def apply(self, kill: Kill) -> bool:
        if kill.connection in self.connections:
            self.applied.append(kill)
        return kill.connection in self.connections

    def kill(self, number: int = 1, query_only: bool = True) -> Kill:
        return Kill(self.inbox.process << 24 | number, query_only)


class Processes:
    """The relays of one directory, and their clock."""

    def __init__(self, directory: ProcessDirectory) -> None:
        self.directory, self.now, self.all = directory, 100.0, list[Process]()

    def add(self, started: bool = True) -> Process:
        self.all.append(Process(self.directory, lambda: self.now, started))
        return self.all[-1]


@pytest.fixture
def processes(directory: ProcessDirectory, monkeypatch: pytest.MonkeyPatch) -> Iterator[Processes]:
    monkeypatch.setattr(kill_relay, "REPLY_LIMIT", LIMIT)
    found = Processes(directory)
    yield found
    for process in found.all:
        process.relay.close()


@pytest.mark.parametrize("query_only", [True, False])
def test_kill_is_applied_by_the_owner_before_it_is_confirmed(processes: Processes, query_only: bool) -> None:
    first, second, third = (processes.add() for _ in range(3))
    for sender, owner in [(first, second), (second, first), (third, first)]:
        owner.applied.clear()
        assert sender.relay.forward(owner.kill(1, query_only)) is KillOutcome.APPLIED
        assert owner.applied == [owner.kill(1, query_only)]
    assert first.relay.forward(second.kill(3)) is KillOutcome.UNKNOWN_CONNECTION
    assert not third.applied


@pytest.mark.parametrize("connection", [0, 5, 9 << 24 | 1, MAX_PROCESS + 1 << 24 | 1, 9_999_999_999])
def test_kill_of_a_connection_that_no_process_has_is_unknown(processes: Processes, connection: int) -> None:
    only = processes.add()
    assert only.relay.forward(Kill(connection, True)) is KillOutcome.UNKNOWN_CONNECTION
    assert only.relay.forward(only.kill(3)) is KillOutcome.UNKNOWN_CONNECTION


def test_kill_for_a_process_that_has_exited_or_crashed_is_unknown(processes: Processes) -> None:
    first, second, third = processes.add(), processes.add(), processes.add(started=False)
    second.relay.close()
    leave(third.inbox)
    processes.all.remove(third)
    for gone in (second, third):
        assert first.relay.forward(gone.kill()) is KillOutcome.UNKNOWN_CONNECTION
    assert processes.add().inbox.process == 4


def test_relay_closed_as_its_thread_begins_to_read_ends_without_an_error(
    processes: Processes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # fault: the close made the descriptor non-blocking, and a read that began right then failed
    errors: list[object] = []
    monkeypatch.setattr(threading, "excepthook", errors.append)
    read, encode = Inbox.read, messages.encode
    reading, closing, ended = threading.Event(), threading.Event(), threading.Event()

    def read_once_closing(inbox: Inbox, size: int) -> bytes:
        reading.set()
        assert closing.wait(LIMIT)
        try:
            return read(inbox, size)
        finally:
            ended.set()

    def encode_once_read(message: messages.KillReply) -> bytes:
        closing.set()
        ended.wait(0.2)
        return encode(message)

    monkeypatch.setattr(Inbox, "read", read_once_closing)
    monkeypatch.setattr(messages, "encode", encode_once_read)
    process = processes.add()
    assert reading.wait(LIMIT)
    process.relay.close()
    assert ended.wait(LIMIT)
    for thread in threading.enumerate():
        if thread.name == "kill-relay":
            thread.join(LIMIT)
    assert not errors


def test_closed_inbox_is_not_woken(directory: ProcessDirectory) -> None:
    # fault: the close of a relay could write to the next user of its descriptor
    inbox = directory.register()
    other_reader, other_writer = os.pipe()
    inbox.close()
    reused = os.dup2(other_writer, inbox._descriptor)
    inbox.wake(b"message")
    os.set_blocking(other_reader, False)
    with pytest.raises(BlockingIOError):
        os.read(other_reader, 1)
    for descriptor in (other_reader, other_writer, reused):
        os.close(descriptor)


def test_process_that_does_not_reply_is_not_waited_for_again_until_it_replies(
    processes: Processes, monkeypatch: pytest.MonkeyPatch
) -> None:
    first, second = processes.add(), processes.add(started=False)  # the second one does not read its inbox
    monkeypatch.setattr(kill_relay, "REPLY_LIMIT", 0.01)
    assert first.relay.forward(second.kill(1)) is KillOutcome.UNCONFIRMED
    monkeypatch.setattr(kill_relay, "REPLY_LIMIT", LIMIT * 100)  # a second wait would not end within the test
    assert first.relay.forward(second.kill(2)) is KillOutcome.UNCONFIRMED
    second.relay.start()
    while first.relay.forward(second.kill(2)) is not KillOutcome.APPLIED:
        pass
    assert second.applied[:2] == [second.kill(1), second.kill(2)]


def test_expired_kill_is_not_applied(processes: Processes, monkeypatch: pytest.MonkeyPatch) -> None:
    # a process that was stopped: the connection may serve a later request of its client by now
    first, second = processes.add(), processes.add(started=False)
    monkeypatch.setattr(kill_relay, "REPLY_LIMIT", 0.01)
    assert first.relay.forward(second.kill(1)) is KillOutcome.UNCONFIRMED
    processes.now += kill_relay.EXPIRY + 0.01
    second.relay.start()
    while first.relay.forward(second.kill(2)) is not KillOutcome.APPLIED:
        pass
    assert second.kill(1) not in second.applied


def test_full_inbox_does_not_delay_the_sender(processes: Processes) -> None:
    first, second = processes.add(), processes.add(started=False)
    writer = processes.directory.open_inbox(second.inbox.process)
    with pytest.raises(BlockingIOError):
        while True:
            os.write(writer, bytes(4096))
    os.close(writer)
    assert first.relay.forward(second.kill()) is KillOutcome.UNCONFIRMED


def test_malformed_messages_are_dropped_and_later_kills_applied(
    processes: Processes, monkeypatch: pytest.MonkeyPatch
) -> None:
    first, second = processes.add(), processes.add()
    monkeypatch.setattr(kill_relay, "REPLY_LIMIT", 0.1)  # a KILL that is read together with garbage is dropped too
    writer = processes.directory.open_inbox(second.inbox.process)
    for data in (b"garbage", bytes(messages.SIZE), b"TWK1"):
        os.write(writer, data)
    os.close(writer)
    while first.relay.forward(second.kill()) is not KillOutcome.APPLIED:
        pass
    assert second.kill() in second.applied


def test_concurrent_kills_get_their_own_replies(processes: Processes) -> None:
    first, second = processes.add(), processes.add()
    found: dict[int, KillOutcome] = {}

    def forward(number: int) -> None:
        found[number] = first.relay.forward(second.kill(number))

    threads = [threading.Thread(target=forward, args=(number,)) for number in range(1, 41)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(LIMIT)
    expected = {number: KillOutcome.APPLIED if number <= 2 else KillOutcome.UNKNOWN_CONNECTION for number in found}
    assert len(found) == 40 and found == expected
