"""The parsers with valid messages split at random positions, and with random garbage."""

from __future__ import annotations

import contextlib
from typing import Any, Protocol

import orjson
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from tealwing.coordinator import updates
from tealwing.mysql import packets, statements
from tealwing.resp import messages
from tests.build import make_settings, request_class

garbage = st.binary(max_size=300)


class StreamParser(Protocol):
    """Takes bytes, and returns the messages completed by them."""

    def feed(self, data: bytes) -> list[Any]: ...


class MysqlParser:
    """Gives the MySQL packet parser the interface of the other parsers."""

    def __init__(self) -> None:
        self.parser = packets.Parser()

    def feed(self, data: bytes) -> list[Any]:
        self.parser.feed(data)
        found = []
        while (message := self.parser.next()) is not None:
            found.append(message)
        return found


def feed_in_parts(parser: StreamParser, data: bytes, cuts: list[int]) -> list[Any]:
    found, at = [], 0
    for end in [*sorted(c % (len(data) + 1) for c in cuts), len(data)]:
        found += parser.feed(data[at:end])
        at = end
    return found


cuts = st.lists(st.integers(0, 10_000), max_size=12)


@given(st.lists(st.lists(st.binary(max_size=40), min_size=1, max_size=8), max_size=6), cuts)
def test_resp_parser_accepts_any_split_of_messages(arrays: list[list[bytes]], at: list[int]) -> None:
    data = b"".join(messages.encode(*parts) for parts in arrays)
    assert feed_in_parts(messages.Parser(), data, at) == arrays


@given(st.lists(st.tuples(st.integers(0, 255), st.binary(max_size=80)), max_size=6), cuts)
def test_mysql_parser_accepts_any_split_of_packets(sent: list[tuple[int, bytes]], at: list[int]) -> None:
    data = b"".join(packets.packet(number, payload) for number, payload in sent)
    assert feed_in_parts(MysqlParser(), data, at) == sent


@given(st.lists(st.binary(min_size=1, max_size=60).map(lambda raw: raw.hex().encode()), max_size=6), cuts)
def test_line_parser_accepts_any_split_of_lines(lines: list[bytes], at: list[int]) -> None:
    assert feed_in_parts(updates.LineParser(), b"".join(line + b"\n" for line in lines), at) == lines


@given(garbage, cuts)
@example(b"*999999999999999999\r\n", [])
@example(b"*1\r\n$99999999\r\n", [])
def test_resp_parser_raises_only_resp_errors_on_garbage(data: bytes, at: list[int]) -> None:
    try:
        for parts in feed_in_parts(messages.Parser(), data, at):
            messages.fields(parts[-1])
    except messages.RespError:
        pass


@given(garbage, cuts)
@example(b"\xff\xff\xff\0" + b"x" * 100, [])
def test_mysql_parser_raises_only_packet_errors_on_garbage(data: bytes, at: list[int]) -> None:
    try:
        for _, payload in feed_in_parts(MysqlParser(), data, at):
            packets.login(payload)
    except packets.PacketError:
        pass


@given(garbage | st.from_regex(rb"\{.*\}", fullmatch=True))
@example(b'{"index":1,"endpoints":{"complete":true,"members":[{"id":7}]}}')
def test_update_parser_raises_only_update_errors_on_garbage(data: bytes) -> None:
    with contextlib.suppress(updates.UpdateError):
        updates.parse_line(data, make_settings())


def test_oversized_message_is_rejected_by_its_header() -> None:
    # otherwise each client could make the gateway buffer megabytes
    parser, most = packets.Parser(), packets.MAX_MESSAGE_BYTES
    parser.feed(packets.packet(0, b"x" * most))
    assert parser.next() == (0, b"x" * most)
    parser.feed((most + 1).to_bytes(3, "little") + b"\0")
    with pytest.raises(packets.PacketError) as caught:  # after the header alone
        parser.next()
    assert caught.value.code == 1153


SETTINGS = make_settings(
    classes=(request_class(name="lookup"), request_class(name="load", idempotency=request_class().idempotency.KEYED)),
    tenants=("acme", "other"),
)
GOOD = b"op=load,call=9b1f03aa5c7e2d41,ttl=1500,org=other,dedupe=5c0f,work=820.5,heap_mb=96"


def test_parse_query_keeps_fields_and_statement() -> None:
    got = statements.parse_query(b"/* " + GOOD + b" */ INSERT INTO a_5.t SELECT '\xff'", SETTINGS)
    assert (got.request_id, got.cls, got.tenant, got.ttl) == (b"9b1f03aa5c7e2d41", 1, 1, 1.5)
    assert (got.idempotency_key, got.cost, got.memory_estimate, got.tables) == (b"5c0f", 0.8205, 96.0, 5)
    assert got.statement == b"INSERT INTO a_5.t SELECT '\xff'"


@pytest.mark.parametrize(
    "old, new",
    [
        ("op=load", "op=none"),
        ("op=load,", ""),
        ("9b1f03aa5c7e2d41", "9b1f03aa5c7e2d4"),
        ("9b1f03aa5c7e2d41", "9B1F03AA5C7E2D4G"),
        ("ttl=1500", "ttl=0"),
        ("ttl=1500", "ttl=-5"),
        ("ttl=1500", "ttl=1e3"),
        ("ttl=1500", "ttl=999999999999999"),
        ("ttl=1500", "ttl=" + "9" * 5000),
        ("org=other", "org=nobody"),
        (",dedupe=5c0f", ""),
        ("dedupe=5c0f", "dedupe=a b"),
        ("work=820.5", "work=nan"),
        ("work=820.5", "work=-1"),
        ("heap_mb=96", "heap_mb=inf"),
        ("heap_mb=96", "heap_mb"),
        ("heap_mb=96", "color=red"),
        ("heap_mb=96", "heap_mb=96,ttl=2"),
    ],
)
def test_parse_query_rejects_invalid_fields(old: str, new: str) -> None:
    with pytest.raises(statements.FieldError):
        statements.parse_query(b"/* " + GOOD.decode().replace(old, new).encode() + b" */ SELECT 1", SETTINGS)


@given(garbage)
def test_parse_query_raises_only_field_errors_on_garbage(data: bytes) -> None:
    for text in (data, b"/*" + data, b"/* " + GOOD + b" */" + data):
        with contextlib.suppress(statements.FieldError):
            statements.parse_query(text, SETTINGS)
    statements.table_group(data)


@pytest.mark.parametrize(
    "text, group",
    [
        ("SELECT day FROM sales_17.orders WHERE tag = '3f9c'", 17),
        ("select a.id, 'from lake_1.decoy' as note\n  from lake_12.lines a", 12),
        ("SELECT id -- was: from mart_1.old\nFROM mart_5.stock", 5),
        ("SELECT id /* from x_1.y */ # from x_2.y\nFROM `ops_3`.`events`", 3),
        ("INSERT INTO mart_5.visits SELECT * FROM staging.batch", 5),
        ("INSERT INTO staging.batch SELECT * FROM ops_6.t", 6),
        ("WITH w AS (SELECT * FROM lake_12.stock) SELECT id FROM w", 12),
        ("SELECT \"it's from b_1.c\", 'a\\'from d_2.e' FROM f_3.g", 3),
        ("SELECT t_9.day FROM sales_4.orders t_9", 4),
        ("SELECT 1", 0),
    ],
)
def test_table_group_of_statement(text: str, group: int) -> None:
    assert statements.table_group(text.encode()) == group


def test_parse_kill_ignores_case() -> None:
    assert statements.parse_kill(b"kill query 12") == statements.Kill(12, True)
    assert statements.parse_kill(b" KILL CONNECTION 7 ;") == statements.Kill(7, False)
    assert statements.parse_kill(b"KILL 7") == statements.Kill(7, False)
    assert statements.parse_kill(b"SELECT 'KILL 7'") is None


@given(st.lists(st.lists(st.binary(max_size=400), min_size=3, max_size=3), max_size=5))
def test_result_set_is_decoded_to_the_same_rows(rows: list[list[bytes]]) -> None:
    found = MysqlParser().feed(packets.result_set((b"a", b"b", b"c"), rows, 1))
    assert [number for number, _ in found] == [n % 256 for n in range(1, len(found) + 1)]
    payloads = [payload for _, payload in found]
    assert payloads[0] == b"\x03" and payloads[4] == payloads[-1] == packets.eof()
    assert [read_row(payload) for payload in payloads[5:-1]] == rows


def read_row(payload: bytes) -> list[bytes]:
    row, at = [], 0
    while at < len(payload):
        wide = 2 if payload[at] == 0xFC else 0
        length = int.from_bytes(payload[at + 1 : at + 1 + wide], "little") if wide else payload[at]
        row.append(payload[at + 1 + wide : at + 1 + wide + length])
        at += 1 + wide + length
    return row


def test_engine_number_depends_only_on_its_id() -> None:
    # numbers assigned in order of arrival would name different engines on two gateways
    member = {"id": "s-1", "host_port": "127.0.0.1:1", "locality": "a", "flavor": "big", "phase": "up"}
    data = {"index": 1, "endpoints": {"complete": True, "members": [member, member | {"id": "s-2"}]}}
    one, two = updates.parse_update(data, make_settings()).members
    data["endpoints"]["members"].reverse()  # type: ignore[index]
    line = updates.parse_line(orjson.dumps(data), make_settings())
    assert isinstance(line, updates.Update) and line.members == (two, one)
    assert one.entry.engine != two.entry.engine


def test_resp_parser_rejects_an_array_whose_strings_are_too_long_together() -> None:
    # guards memory: a bad engine may begin such an answer on each of its connections
    page, parser = b"x" * (messages.MAX_PART_BYTES - 1), messages.Parser()
    assert parser.feed(messages.encode(b"1", b"200", b"sheets=1", page)) == [[b"1", b"200", b"sheets=1", page]]
    with pytest.raises(messages.RespError, match="more than"):
        parser.feed(messages.encode(page, page, page, page))
