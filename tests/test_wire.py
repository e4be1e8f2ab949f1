"""The codec of the simulator's protocol on hand-written bytes, and its errors for malformed input."""

from __future__ import annotations

import io
import json
from typing import Any

import pytest

from tealwing import interface as api
from tealwing import wire

# the settings as the simulator sends them, before their encoding as JSON
WIRE_SETTINGS: dict[str, Any] = {
    "Allowed": {
        "Cancelling": True,
        "MaxAttempts": 3,
        "MaxRetryAfterNs": 1_000_000_000,
        "MayDuplicate": False,
        "RetryAfter": True,
    },
    "Clients": {"MarksRetry": True},
    "Contract": {
        "AnswerSlackNs": 20_000_000,
        "ColdNs": 10_000_000_000,
        "ColdShare": 0.4,
        "DrainGraceNs": 250_000_000,
        "FallMultiple": 4,
        "TipAfterNs": 2_000_000_000,
    },
    "Discovery": "push",
    "FamilyInfo": {"CoresByKind": [8], "RamOfKindMb": [1024.0], "WidthByClass": [2]},
    "Grades": [
        {
            "Credit": 2,
            "DeadlineNs": 5_000_000_000,
            "Effect": "by_key",
            "Group": "cell",
            "Name": "read",
            "TargetNs": 1_000_000_000,
            "WindowNs": 3_000_000_000,
            "BoundTo": [0],
        }
    ],
    "Kinds": ["k"],
    "Me": 0,
    "NeverHeardOf": [1],
    "Prices": {"CrossZone": 0.02},
    "Report": {"Columns": ["util"], "Via": "piggyback"},
    "Siblings": 2,
    "TickNs": 5_000_000,
    "Zone": 0,
    "Zones": ["z"],
}


def decode(text: str, count: int = 1) -> list[tuple[int, wire.WireEvent]]:
    return list(wire.Decoder().events(bytes.fromhex(text), count))


EVENTS = [
    (
        "64 0003 5d3a91c4 41300000 0000000000b71b00 91f03b7c55d20a64 000000000e4e1c00 0000 43c00000 00 01",
        api.Request(0x5D3A91C4, 0, 0.24, 11.0, 0.012, 0x91F03B7C55D20A64, 0, 384.0, False, False),
    ),
    (
        "64 0003 00000001 00000000 0000000000000000 0000000000000000 000000003b9aca00 0002 00000000 01 06",
        api.Request(1, 1, 1.0, 0.0, None, 0, 2, 0.0, True, True),
    ),
    (
        "14 0003 5d3a91c4 0000 03124a07 0064 00000000011a49a0 01 00011060 03 3f000000 40e00000 3fa00000",
        api.AttemptOutcome(
            0x5D3A91C4, 0, 0x03124A07, api.AttemptResult.OK, 0.0185, True, 0.017, 384.0, (0.5, 7.0, 1.25)
        ),
    ),
    (
        "14 0003 00000001 0002 00000007 012e 0000000000000000 00 00000000 00",
        api.AttemptOutcome(1, 2, 7, api.AttemptResult.FULL, 0.0, False),
    ),
    ("5a 0003 000000000000004d", api.TimerFired(0x4D)),
    ("46 0005 0e6f2b19", api.ClientGone(0x0E6F2B19)),
    (
        "1e 0003 5d3a91c4 0000 03124a07 01 3f000000",
        api.AttemptProgress(0x5D3A91C4, 0, 0x03124A07, api.ProgressKind.PROGRESS, 0.5),
    ),
    ("28 0003 00000007 0130 0000000000000000 00", api.HealthCheckResult(7, api.AttemptResult.CONNECT_FAILED, 0.0, ())),
    ("6e 0003 00000001 0001 00000007 000000003b9aca00", api.StreamStarted(1, 1, 7, 1.0)),
    ("0a 0003 0002 0002 6869", api.PeerMessage(2, b"hi")),
    ("32 0003", wire.Teardown()),
    ("50 0003 0000000000000009 00000002 7b7d", wire.Init(9, b"{}")),
    ("78 0003 03 0000000000000029 00", api.EngineList(api.EngineListKind.FAILED, 0x29, ())),
]


@pytest.mark.parametrize(("text", "event"), EVENTS)
def test_event_is_decoded(text: str, event: wire.WireEvent) -> None:
    ((_, got),) = decode(text)
    assert got == event


def test_reused_list_number_refers_to_latest_list() -> None:
    first = "3c 00 00000001 03124a07 00 0000 0002 01 3f800000 0000000000000000"
    second = "3c 00 00000001 2c9011f2 01 0001 0000 02 3fc00000 000000003b9aca00"
    update = "78 0003 02 0000000000000029 00"
    (_, one), (_, two) = decode(" ".join([first, update, second, update]), 4)
    assert one == api.EngineList(
        api.EngineListKind.CACHED, 0x29, (api.EngineListEntry(0x03124A07, 0, 0, 2, api.Health.READY, 1.0, 0.0),)
    )
    assert isinstance(two, api.EngineList)
    assert two.entries == (api.EngineListEntry(0x2C9011F2, 1, 1, 0, api.Health.DRAINING, 1.5, 1.0),)


ACTIONS: list[tuple[api.Action, str]] = [
    (api.Send(0x5D3A91C4, 0x03124A07, 0.08), "0a 0003 5d3a91c4 0000000004c4b400 03124a07"),
    (api.Reject(1, 0.5), "14 0003 00000001 000000001dcd6500"),
    (api.Fail(1), "1e 0003 00000001"),
    (api.CancelAttempt(1, 2), "28 0003 00000001 0002"),
    (api.SetTimer(0.5, 0x4D), "32 0003 000000001dcd6500 000000000000004d"),
    (api.CheckHealth(7), "3c 0003 00000007"),
    (api.CloseIdleConnections(7), "46 0003 00000007"),
    (api.SendToPeer(None, b"hi"), "50 0003 ffffffff 0002 6869"),
    (api.SendToPeer(2, b""), "50 0003 00000002 0000"),
    (api.Log("hi"), "5a 0003 0002 6869"),
    (api.Subscribe(True), "6e 0003 01"),
    (api.FetchEngineList(), "78 0003"),
    (api.SetResources(0x5D3A91C4, 2, 640.0), "82 0003 5d3a91c4 02 44200000"),
]


@pytest.mark.parametrize(("action", "text"), ACTIONS)
def test_action_is_encoded(action: api.Action, text: str) -> None:
    assert wire.encode(3, action) == bytes.fromhex(text)


def test_bug_record_and_reply_are_encoded() -> None:
    assert wire.bug(3, "no") == bytes.fromhex("64 0003 0002 6e6f")
    assert wire.reply([b"ab", b"c"]) == bytes.fromhex("00000002 00000003") + b"abc"


def test_batch_is_read_with_clock_and_record_count() -> None:
    data = bytes.fromhex("000000003b9aca00 0000000f 00000001 5a 0003 000000000000004d")
    assert wire.read_batch(io.BytesIO(data)) == (1.0, 1, data[16:])
    assert wire.read_batch(io.BytesIO(b"")) is None
    for length in ("00000000", "00000004"):
        assert wire.read_batch(io.BytesIO(bytes.fromhex("0" * 16 + length + "00000000"))) == (0.0, 0, b"")


@pytest.mark.parametrize("cut", [1, 15, 16, 20])
def test_truncated_batch_raises_wire_error(cut: int) -> None:
    data = bytes.fromhex("000000003b9aca00 0000000f 00000001 5a 0003 000000000000004d")[:cut]
    with pytest.raises(wire.WireError):
        wire.read_batch(io.BytesIO(data))


@pytest.mark.parametrize(
    "text",
    [
        "ff 0003",
        "5a 0003 00",
        "5a 0003 000000000000004d 00",
        "78 0003 01 0000000000000029 07",
        "78 0003 09 0000000000000029 00",
        "14 0003 00000001 0002 00000007 0001 0000000000000000 00 00000000 00",
    ],
)
def test_malformed_record_raises_wire_error(text: str) -> None:
    with pytest.raises(wire.WireError):
        decode(text)


def test_settings_are_read_and_unknown_keys_ignored() -> None:
    got = wire.parse_settings(json.dumps(WIRE_SETTINGS).encode())
    cls = got.classes[0]
    assert (cls.latency_objective, cls.deadline, cls.priority_weight, cls.threads) == (1.0, 5.0, 2.0, 2)
    assert (cls.idempotency, cls.idempotency_scope, cls.idempotency_window) == (
        api.Idempotency.KEYED,
        api.IdempotencyScope.CELL,
        3.0,
    )
    assert (cls.zones, cls.machine_kinds, cls.ordered) == (None, frozenset({0}), False)
    assert got.rules.retry_budget_floor is None and got.rules.overload_multiple == 4.0
    assert got.limits.cancellation and got.limits.max_attempts == 3 and got.clients_mark_retries
    assert got.report_fields == ("util",) and got.gateway_count == 2 and got.tick == 0.005


def changed(path: str, value: Any) -> bytes:
    settings = json.loads(json.dumps(WIRE_SETTINGS))
    *parents, last = path.split(".")
    place = settings
    for name in parents:
        place = place[int(name)] if isinstance(place, list) else place[name]
    if value is None:
        del place[last]
    else:
        place[last] = value
    return json.dumps(settings).encode()


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        ("Siblings", None, "Siblings"),
        ("Siblings", 0, "Siblings"),
        ("Siblings", "two", "Siblings"),
        ("Contract.ColdShare", None, "ColdShare"),
        ("Contract.ColdShare", 1.5, "ColdShare: 1.5, expected"),
        ("Grades.0.TargetNs", 0, "class TargetNs"),
        ("Grades.0.Effect", "maybe", "Effect"),
        ("Grades.0.BoundTo", ["k"], "BoundTo"),
        ("Grades", [], "Grades"),
        ("FamilyInfo.WidthByClass", [], "WidthByClass"),
        ("Discovery", "guess", "Discovery"),
        ("Allowed.MaxAttempts", True, "MaxAttempts"),
    ],
)
def test_error_names_missing_or_invalid_setting(path: str, value: Any, named: str) -> None:
    with pytest.raises(ValueError, match=named):
        wire.parse_settings(changed(path, value))


def test_invalid_json_settings_raise_wire_error() -> None:
    with pytest.raises(wire.WireError, match="JSON"):
        wire.parse_settings(b"{")
