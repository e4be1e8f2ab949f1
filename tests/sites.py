"""Builds gateway settings from the site files in deploy/sites, and engines that record the attempts they receive.

A site file holds ranges from which a simulated day draws its values; here each range is replaced by its midpoint. The
keys of the file are mapped to settings as the page on the wire format specifies. Settings that it does not mention
(such as the fixed words of FamilyInfo) are left out.
"""

from __future__ import annotations

import contextlib
import functools
import json
import socket
import threading
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tealwing import interface as api
from tealwing import wire
from tealwing.resp import messages
from tests.peers import LIMIT, ROOT, Peer, member, say

FOLDER = ROOT / "deploy" / "sites"
VARIANTS = ("gauge-archive", "parcel-maps")
MS = 1_000_000  # ns
CORE_MEMORY_MB = 2048.0  # memory of a core, which site files don't name
ANSWER_SLACK, POLL_INTERVAL = 20 * MS, 10_000 * MS  # ns, the same in every site
CAPACITY_UTILIZATION = 0.85  # share of the cores that are busy at capacity
EFFECT_NAMES = {"safe": "repeatable", "keyed": "by_key", "unsafe": "once"}
PAGE = b"a\tb\tc\n"


def midpoint(value: Any) -> float:
    """The midpoint of a range, or the value itself."""
    return float(sum(value) / len(value)) if isinstance(value, list) else float(value)


@functools.cache
def site(name: str) -> dict[str, Any]:
    """Load the site file of a variant."""
    return tomllib.loads((FOLDER / name / f"{name}.toml").read_text())


def settings(name: str, **changes: Any) -> dict[str, Any]:
    """Settings of a variant as nested JSON, with the names and units of the wire; changes replace top-level keys."""
    file = site(name)
    tier, family, allow, rules = file["tier"][0], file["fam"], file["allow"], file["rules"]
    classes, kinds = file["class"], tier["kind"]
    servers = midpoint(file["scale"]["servers"])
    cores = servers * sum(midpoint(k["share"]) * k["cores"] for k in kinds) / sum(midpoint(k["share"]) for k in kinds)
    total_share = sum(midpoint(c["share"]) for c in classes)
    work = sum(midpoint(c["share"]) * midpoint(c["work_ms"]) for c in classes) / total_share
    rate = CAPACITY_UTILIZATION * cores / (work / 1e3) * midpoint(file["load"]["quota_of_capacity"])
    return {
        "Accounts": [{"Name": t["name"], "QuotaRps": rate * t["share"], "Share": t["share"]} for t in file["tenant"]],
        "Allowed": {
            "Cancelling": allow["cancel"],
            "ConnIdleNs": tier["conn"]["idle_s"] * 1000 * MS,
            "ConnectTimeoutNs": tier["conn"]["connect_timeout_ms"] * MS,
            "MaxAttempts": allow["max_attempts"],
            "MaxRetryAfterNs": file["clients"]["max_retry_after_ms"] * MS,
            "MayDuplicate": allow["second_copies"],
            "Multiplex": tier["conn"]["streams"],
            "Peers": allow["peers"],
            "Probing": allow["probes"],
            "RetryAfter": allow["retry_after"],
        },
        "Clients": {"MarksRetry": file["clients"]["marks_retry"]},
        "Contract": {
            "AnswerSlackNs": ANSWER_SLACK,
            "AskWithinNs": POLL_INTERVAL,
            "ColdNs": int(max(k["cold_s"][1] for k in kinds) * 1000 * MS),
            "ColdShare": min(k["cold_from"][0] for k in kinds),
            "DrainGraceNs": rules["drain_grace_ms"] * MS,
            "FallMultiple": float(rules["fall_multiple"]),
            "TipAfterNs": rules["fall_ms"] * MS,
        },
        "Discovery": file["discovery"]["mode"],
        "FamilyInfo": {
            "ClassWaits": [c.get("waits", False) for c in family["class"]],
            "CoresByKind": [k["cores"] for k in kinds],
            "HoldsTables": [c.get("load", False) for c in family["class"]],
            "MostGrant": 0.4,
            "Overbooked": family["when_short"],
            "RamOfKindMb": [CORE_MEMORY_MB * k["cores"] for k in kinds],
            "RanksHeeded": family["priorities"],
            "TakesGrants": family["grants"],
            "TellsCost": family["tells_cost"],
            "TellsEveryNs": family["progress_ms"] * MS,
            "WidthByClass": [c.get("threads", 1) for c in family["class"]],
        },
        "Grades": [
            {
                "AimStretch": float(c["aim_stretch"]),
                "Credit": float(c["worth"]),
                "DeadlineNs": c["deadline_ms"] * MS,
                "Effect": EFFECT_NAMES[c["effect"]],
                "Group": c.get("group", "all"),
                "LateShare": float(c["late_worth"]),
                "Name": c["name"],
                "Streamed": False,
                "TargetNs": c["aim_ms"] * MS,
                "WindowNs": c.get("window_ms", 5000) * MS,
            }
            for c in classes
        ],
        "Kinds": [k["name"] for k in kinds],
        "Me": 0,
        "OverShareWorth": file["load"]["over_share_worth"],
        "Prices": {
            "CrossZone": float(file["prices"]["cross_zone"]),
            "LateFail": file["prices"]["late_fail"],
            "Waste": file["prices"]["waste"],
        },
        "Report": {"Columns": tier["report"]["fields"], "Via": "piggyback"},
        "Siblings": 3,
        "Stages": [tier["name"]],
        "TickNs": file["day"]["tick_ms"] * MS,
        "Tier": 0,
        "WorthBy": file["load"]["worth_by"],
        "Zone": 0,
        "Zones": file["net"]["zones"],
    } | changes


def parse(text: dict[str, Any]) -> api.Settings:
    """Parse settings as the gateway does."""
    return wire.parse_settings(json.dumps(text).encode())


def request_fields(text: dict[str, Any], class_index: int, tenant_index: int, call: int) -> dict[str, Any]:
    """Fields of a request with the class and tenant at the given indexes; its ttl is the deadline of the class."""
    grade = text["Grades"][class_index]
    fields = {
        "op": grade["Name"],
        "call": f"{call:016x}",
        "ttl": grade["DeadlineNs"] // MS,
        "org": text["Accounts"][tenant_index]["Name"],
    }
    return fields | ({"dedupe": f"key-{call:x}"} if grade["Effect"] == "by_key" else {})


def placements(text: dict[str, Any]) -> list[tuple[str, str]]:
    """The zone and machine kind of each engine: one engine per zone, kinds in rotation."""
    kinds = text["Kinds"]
    return [(zone, kinds[index % len(kinds)]) for index, zone in enumerate(text["Zones"])]


def engine_member(name: str, address: str, placement: tuple[str, str], **changes: Any) -> dict[str, Any]:
    """The engine list entry of an engine with the given zone and machine kind, as the coordinator sends it."""
    return member(name, address, locality=placement[0], flavor=placement[1], **changes)


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt as an engine received it; address is that of the engine."""

    call: str
    class_name: str
    ttl: int
    dedupe: str
    address: str
    connection: socket.socket

    def answer(self) -> None:
        """Answer with one page; does nothing if the connection has ended."""
        with contextlib.suppress(OSError):
            say(self.connection, self.call.encode(), b"200", b"sheets=1", PAGE)

    def fail(self) -> None:
        """Answer that the attempt failed and may have run."""
        say(self.connection, self.call.encode(), b"500", b"-", b"")


class AttemptLog:
    """The attempts that a group of engines received, in order; a test answers the calls that it holds."""

    def __init__(self) -> None:
        self._attempts: list[Attempt] = []
        self._held_calls: set[str] = set()
        self._added = threading.Condition()

    def hold(self, call: str) -> None:
        """Leave the attempts of this call for the test to answer."""
        with self._added:
            self._held_calls.add(call)

    def attempts_of(self, call: str) -> list[Attempt]:
        """Return all attempts of a call so far."""
        with self._added:
            return [attempt for attempt in self._attempts if attempt.call == call]

    @property
    def class_names(self) -> set[str]:
        """Names of all request classes in the attempts."""
        with self._added:
            return {attempt.class_name for attempt in self._attempts}

    def wait_for_attempt(self, call: str, number: int = 0) -> Attempt:
        """Wait for the attempt of a call with this number, counted from 0, and return it."""
        with self._added:
            arrived = self._added.wait_for(lambda: len([a for a in self._attempts if a.call == call]) > number, LIMIT)
            assert arrived, f"attempt {number} of call {call} did not arrive within {LIMIT:g} s"
            return [attempt for attempt in self._attempts if attempt.call == call][number]

    def add(self, attempt: Attempt) -> bool:
        """Record an attempt; return whether the engine is to answer it at once."""
        with self._added:
            self._attempts.append(attempt)
            self._added.notify_all()
            return attempt.call not in self._held_calls


class RecordingEngine(Peer):
    """An engine that records its attempts in a log and answers at once those that are not held."""

    def __init__(self, attempt_log: AttemptLog) -> None:
        self._attempt_log = attempt_log
        super().__init__()
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            sock, parts = self.got.get()
            if parts[0] != b"want":
                continue
            fields = messages.fields(parts[2])
            dedupe, ttl = fields.get("dedupe", ""), int(fields["ttl"])
            attempt = Attempt(parts[1].decode(), fields["lane"], ttl, dedupe, self.address, sock)
            if self._attempt_log.add(attempt):
                attempt.answer()


def configuration(folder: Path, text: dict[str, Any], members: list[dict[str, Any]], **changes: Any) -> Path:
    """Write the configuration file of a gateway with these settings and a first engine list."""
    event = {"index": 1, "endpoints": {"revision": 1, "complete": True, "members": members}}
    config = {"name": "n0", "listen": "127.0.0.1:0", "seed": "1f", "coordinator": "127.0.0.1:1"}
    path = folder / "config.json"
    known = {"index": 1, "updates": [event]}
    path.write_text(json.dumps(config | {"known": known, "settings": text} | changes))
    return path
