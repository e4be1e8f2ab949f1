"""A file that lacks a key is taken at SIGHUP, and a keyed request is repeated where its repeat is not dropped."""

from __future__ import annotations

import copy
import signal
import socket
import sys
import threading
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common-2"))

import rig

REQUESTS = 12
LIMIT = 8.0  # s: the class's deadline is 5 s, and an answer is due 0.5 s after it at the latest


class Effects:
    """The effects of keyed requests; the engines of one cell share the list of keys that they have seen."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._seen: set[tuple[int, str]] = set()
        self.by_key: Counter[str] = Counter()

    def take(self, cell: int, key: str) -> bool:
        """Return whether the key is new in this cell; then it takes effect."""
        with self._lock:
            new = (cell, key) not in self._seen
            self._seen.add((cell, key))
            self.by_key[key] += new
            return new


def case(record: rig.Record, folder: Path) -> bool:
    """Play the case; return whether each keyed request took effect once at most."""
    effects = Effects()
    cells = {f"s-{number}": number // 2 for number in range(4)}

    def on_want(engine: rig.Engine, sock: socket.socket, parts: list[bytes]) -> None:
        fields = dict(part.split("=", 1) for part in parts[2].decode().split(","))
        if effects.take(cells[engine.name], fields["dedupe"]):  # it took effect, and the engine reports an error
            record.add(engine.name, f"cell {cells[engine.name]}: {fields['dedupe']} takes effect; answers 500")
            engine.say(sock, parts[1], b"500", b"-", b"")
        else:
            record.add(engine.name, f"cell {cells[engine.name]}: drops the repeat of {fields['dedupe']}")
            engine.serve(sock, parts[1])

    engines = [rig.Engine(name, record, on_want) for name in cells]
    coordinator = rig.Coordinator(record, [engine.entry(cell=cells[engine.name]) for engine in engines])
    good = rig.settings([rig.grade("lookup", "repeatable", 3.0), rig.grade("load", "by_key", 5.0, Group="cell")])
    gateway = rig.Gateway("n0", folder, record, rig.config(coordinator, good))
    gateway.start()

    if rig.TROUBLE:  # the disruption: a file that lacks a key
        lacking = copy.deepcopy(good)
        del lacking["Grades"][1]["Group"]
        gateway.config["settings"] = lacking
        gateway.write_config()
        record.add("platform", "writes a file that lacks Grades[1].Group")
        gateway.signal(signal.SIGHUP)
    time.sleep(3.0)  # a file that is turned down is read again for 2 s

    for number in range(REQUESTS):
        client = rig.Client(gateway.address, record)
        key = f"5c0f6e1a2b3d4c59a8b7c6d5e4f3{number:04x}"
        client.ask(client.text("load", f"{0xD000 + number:016x}", 5000, org="graan-koop", dedupe=key), LIMIT)
        client.close()
    time.sleep(0.5)
    for event in gateway.events():
        if event.get("event") in ("settings_changed", "configuration_unusable"):
            record.add("n0", f"logs {event}")
    twice = {key: count for key, count in effects.by_key.items() if count > 1}
    record.add("judge", f"effects by key: {dict(effects.by_key)}; more than one: {twice}")
    if not effects.by_key:
        raise rig.NotRunError("no request reached an engine")
    return not twice


if __name__ == "__main__":
    rig.play(case)
