"""The variants of the site in deploy/sites as the settings that a gateway is given, and engines that note what comes.

A site file holds ranges and its day is a draw; here every range stands for its middle. Which key of the file becomes
which setting is the wire's page; what it does not say (the fixed words of FamilyInfo, say) is left out.
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
CORE_MB = 2048.0  # memory of a core where the file names none
ANSWER_SLACK, TELLS = 20 * MS, 10_000 * MS  # ns: of every site
CAPACITY = 0.85  # share of the cores that are busy at capacity
EFFECTS = {"safe": "repeatable", "keyed": "by_key", "unsafe": "once"}
PAGE = b"a\tb\tc\n"


def middle(value: Any) -> float:
    """One figure of a range."""
    return float(sum(value) / len(value)) if isinstance(value, list) else float(value)


@functools.cache
def site(name: str) -> dict[str, Any]:
    """The site file of a variant."""
    return tomllib.loads((FOLDER / name / f"{name}.toml").read_text())


def settings(name: str, **changes: Any) -> dict[str, Any]:
    """The settings of a variant, as nested JSON with the wire's names and units; changes replace keys of the top."""
    file = site(name)
    tier, family, allow, rules = file["tier"][0], file["fam"], file["allow"], file["rules"]
    classes, kinds = file["class"], tier["kind"]
    servers = middle(file["scale"]["servers"])
    cores = servers * sum(middle(k["share"]) * k["cores"] for k in kinds) / sum(middle(k["share"]) for k in kinds)
    work = sum(middle(c["share"]) * middle(c["work_ms"]) for c in classes) / sum(middle(c["share"]) for c in classes)
    rate = CAPACITY * cores / (work / 1e3) * middle(file["load"]["quota_of_capacity"])
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
            "AskWithinNs": TELLS,
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
            "RamOfKindMb": [CORE_MB * k["cores"] for k in kinds],
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
                "Effect": EFFECTS[c["effect"]],
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


def read(text: dict[str, Any]) -> api.Settings:
    """Settings as the gateway reads them."""
    return wire.parse_settings(json.dumps(text).encode())


def fields(text: dict[str, Any], cls: int, tenant: int, call: int) -> dict[str, Any]:
    """The fields of a request of a class and a tenant, by their places in the settings; its time is its deadline."""
    grade = text["Grades"][cls]
    found = {
        "op": grade["Name"],
        "call": f"{call:016x}",
        "ttl": grade["DeadlineNs"] // MS,
        "org": text["Accounts"][tenant]["Name"],
    }
    return found | ({"dedupe": f"key-{call:x}"} if grade["Effect"] == "by_key" else {})


def places(text: dict[str, Any]) -> list[tuple[str, str]]:
    """Zones and kinds, one of each for as many engines as there are zones."""
    kinds = text["Kinds"]
    return [(zone, kinds[at % len(kinds)]) for at, zone in enumerate(text["Zones"])]


def engine_member(name: str, address: str, place: tuple[str, str], **changes: Any) -> dict[str, Any]:
    """An engine in a zone, of a kind, as the coordinator names it."""
    return member(name, address, locality=place[0], flavor=place[1], **changes)


@dataclass(frozen=True, slots=True)
class Want:
    """One attempt as an engine saw it; the address is the engine's."""

    call: str
    lane: str
    ttl: int
    dedupe: str
    address: str
    sock: socket.socket

    def answer(self) -> None:
        """Serve it; an attempt whose connection has ended has nobody to hear that."""
        with contextlib.suppress(OSError):
            say(self.sock, self.call.encode(), b"200", b"sheets=1", PAGE)

    def fail(self) -> None:
        """Say that it failed, and may have run."""
        say(self.sock, self.call.encode(), b"500", b"-", b"")


class Book:
    """What some engines were asked, in turn; calls that it is told to hold are answered by the test."""

    def __init__(self) -> None:
        self._wants: list[Want] = []
        self._holding: set[str] = set()
        self._seen = threading.Condition()

    def hold(self, call: str) -> None:
        """Answer this one only by hand."""
        with self._seen:
            self._holding.add(call)

    def of(self, call: str) -> list[Want]:
        """All attempts of a call so far."""
        with self._seen:
            return [want for want in self._wants if want.call == call]

    @property
    def lanes(self) -> set[str]:
        """All classes that the engines were told of."""
        with self._seen:
            return {want.lane for want in self._wants}

    def attempt(self, call: str, number: int = 0) -> Want:
        """The attempt of a call, once it has come."""
        with self._seen:
            came = self._seen.wait_for(lambda: len([w for w in self._wants if w.call == call]) > number, LIMIT)
            assert came, f"attempt {number} of {call} does not come"
            return [want for want in self._wants if want.call == call][number]

    def came(self, want: Want) -> bool:
        """Note an attempt; whether it is answered now."""
        with self._seen:
            self._wants.append(want)
            self._seen.notify_all()
            return want.call not in self._holding


class Noting(Peer):
    """An engine that notes what it is asked in a book, and answers at once what is not held."""

    def __init__(self, book: Book) -> None:
        self._book = book
        super().__init__()
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            sock, parts = self.got.get()
            if parts[0] != b"want":
                continue
            told = messages.fields(parts[2])
            dedupe, ttl = told.get("dedupe", ""), int(told["ttl"])
            want = Want(parts[1].decode(), told["lane"], ttl, dedupe, self.address, sock)
            if self._book.came(want):
                want.answer()


def configuration(folder: Path, text: dict[str, Any], members: list[dict[str, Any]], **changes: Any) -> Path:
    """A gateway's configuration file with these settings and a first list."""
    event = {"index": 1, "endpoints": {"revision": 1, "complete": True, "members": members}}
    config = {"name": "n0", "listen": "127.0.0.1:0", "seed": "1f", "coordinator": "127.0.0.1:1"}
    path = folder / "config.json"
    known = {"index": 1, "updates": [event]}
    path.write_text(json.dumps(config | {"known": known, "settings": text} | changes))
    return path
