"""The adapter as the simulator runs it: a process that talks on standard input and output."""

from __future__ import annotations

import json
import struct
import subprocess
import sys

import pytest

from tealwing import wire
from tealwing.adapter import Host
from tests.test_wire import WIRE_SETTINGS

INSTANCES = (1, 2, 3)


def frame(clock: float, records: list[bytes]) -> bytes:
    body = b"".join(records)
    return struct.pack(">QII", int(clock * wire.NS), len(body) + 4, len(records)) + body


def start_records(instance: int, settings_json: bytes | None = None) -> list[bytes]:
    settings_json = json.dumps(WIRE_SETTINGS).encode() if settings_json is None else settings_json
    entries = b"".join(struct.pack(">IBHHBfQ", 10 + n, 0, 0, n, 1, 1.0, 0) for n in range(3))
    return [
        struct.pack(">BHQI", 80, instance, instance, len(settings_json)) + settings_json,
        struct.pack(">BBI", 60, 0, 3) + entries,
        struct.pack(">BHBQB", 120, instance, 2, 1, 0),
    ]


def request(instance: int, number: int) -> bytes:
    return struct.pack(">BHIfQQQHfBB", 100, instance, number, number % 4, 0, 0, 4 * wire.NS, 0, 0.0, 0, 0)


def answer(instance: int, number: int, engine: int) -> bytes:
    return struct.pack(">BHIHIHQBIBf", 20, instance, number, 0, engine, 100, wire.NS // 4, 1, 0, 1, number % 10 / 10)


def run_adapter(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run([sys.executable, "-m", "tealwing.adapter"], input=data, capture_output=True)


def batches(instances: tuple[int, ...]) -> list[bytes]:
    """Return the same events for each instance: its start, requests, answers and timers, one batch per step."""
    frames = [frame(1.0, []), frame(1.0, [r for i in instances for r in start_records(i)])]
    for step in range(40):
        records = [request(i, step * 8 + i + 3 * k) for i in instances for k in range(2)]
        if step % 4 == 3:
            records += [answer(i, step * 8 - 8 + i + 3 * k, 10 + k) for i in instances for k in range(2)]
            records += [struct.pack(">BHQ", 90, i, 0) for i in instances]
        frames.append(frame(1.0 + step / 10, records))
    return frames


def replies(output: bytes) -> list[list[bytes]]:
    """Split the output into replies, and each reply into its records, by the record sizes of the protocol."""
    sizes = {10: 19, 20: 15, 30: 7, 40: 9, 50: 19, 130: 12}
    found, at = [], 0
    while at < len(output):
        count, length = struct.unpack_from(">II", output, at)
        at += 8
        end, records = at + length, []
        for _ in range(count):
            size = sizes[output[at]]
            records.append(output[at : at + size])
            at += size
        assert at == end
        found.append(records)
    return found


def records_of(instance: int, all_replies: list[list[bytes]]) -> list[list[bytes]]:
    return [[r for r in records if struct.unpack_from(">H", r, 1)[0] == instance] for records in all_replies]


def test_instances_of_one_process_act_independently() -> None:
    together = run_adapter(b"".join(batches(INSTANCES)))
    assert together.returncode == 0 and together.stderr == b""
    for instance in INSTANCES:
        alone = run_adapter(b"".join(batches((instance,))))
        mine = records_of(instance, replies(together.stdout))
        assert mine == records_of(instance, replies(alone.stdout))
        assert sum(record[0] == 10 for records in mine for record in records) > 20


def test_instance_restart_within_a_batch_drops_its_state() -> None:
    again = [struct.pack(">BH", 50, 1), *start_records(1), request(1, 7)]
    host, fresh = Host(), Host()
    first = frame(1.0, [*start_records(1), request(1, 7)])
    host.reply(1.0, 4, first[16:])
    later = frame(2.0, again)
    assert host.reply(2.0, 5, later[16:]) == fresh.reply(2.0, 4, frame(2.0, again[1:])[16:])


def test_large_batch_gets_a_reply_to_every_request() -> None:
    records = start_records(1) + [request(1, n) for n in range(20_000)]
    got = run_adapter(frame(1.0, records))
    answered = {struct.unpack_from(">I", r, 3)[0] for r in replies(got.stdout)[0] if r[0] in (10, 20)}
    assert answered == set(range(20_000))


@pytest.mark.parametrize(
    "data",
    [
        b"\0\0\0",
        frame(1.0, [b"\xff\0\1"]),
        frame(1.0, start_records(1, b"{")),
        frame(1.0, start_records(1, b"{}")),
        frame(1.0, [request(1, 1)]),
        frame(1.0, [*start_records(1)])[:-5],
    ],
)
def test_invalid_input_exits_with_one_line_on_stderr(data: bytes) -> None:
    got = run_adapter(data)
    assert got.returncode != 0
    assert got.stderr.startswith(b"tealwing: ") and got.stderr.count(b"\n") == 1


def test_exception_in_gateway_is_reported_as_bug_record(monkeypatch: pytest.MonkeyPatch) -> None:
    def fails(*_: object) -> None:
        raise RuntimeError("a fault")

    host = Host()
    monkeypatch.setattr("tealwing.policy.Gateway.handle", fails)
    reply = host.reply(1.0, 3, frame(1.0, start_records(1))[16:])
    assert reply[8] == 100 and b"a fault" in reply
