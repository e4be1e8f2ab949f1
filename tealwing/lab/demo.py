"""A whole deployment on loopback: coordinator, engines, gateway processes and clients, with faults injected."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np

from tealwing.lab import arrivals, site
from tealwing.lab.load import NAMES, Load, LoadSpecification
from tealwing.lab.load_swing import MEAN_WORK
from tealwing.lab.realtime import RealClock
from tealwing.lab.standins.coordinator import Coordinator
from tealwing.lab.standins.engine import Engine, Keys

ENGINES, GATEWAYS = 8, 3
LOAD = 0.3  # share of the engines' capacity: the stand-ins share this machine with the gateways
WORK_SCALE = 0.25  # factor on the brief's work and memory of a query, so that a short run has many queries
START_LIMIT = 20.0  # s within which a gateway must start
GRACE = 1.05  # s after a drain is published in which sends may still arrive: 1 s by the rule, 0.05 s of socket delay
DISPLAY_INTERVAL = 0.5  # s between two displayed states
STOP_LIMIT = 30.0  # s within which a gateway must end after SIGTERM


@dataclass(slots=True)
class State:
    """The state that is displayed while the demo runs."""

    seconds: float
    requested: int
    ends: dict[str, int]
    engines: list[tuple[str, str, int]]  # name, state, running queries
    note: str


def platform_settings(gateways: int, me: int) -> dict[str, Any]:
    """The settings of one gateway, in the form of the platform's JSON."""
    settings = site.settings(gateways)
    ns = 1_000_000_000
    grades = [
        {
            "Name": cls.name,
            "TargetNs": round(cls.latency_objective * ns),
            "AimStretch": cls.objective_per_work,
            "DeadlineNs": round(cls.deadline * ns),
            "Credit": cls.priority_weight,
            "LateShare": cls.late_weight_share,
            "Effect": "by_key" if cls.locks_tables else "repeatable",
            "Group": "all",
            "WindowNs": round(cls.idempotency_window * ns),
        }
        for cls in settings.classes
    ]
    return {
        "Me": me, "Siblings": gateways, "Zone": 0, "Zones": list(settings.zones),
        "Kinds": [kind.name for kind in settings.machine_kinds], "Grades": grades, "TickNs": 5_000_000,
        "Accounts": [{"Name": a.name, "Share": a.share, "QuotaRps": a.rate} for a in settings.tenant_quotas],
        "Allowed": {"Cancelling": True, "MayDuplicate": False, "RetryAfter": True, "MaxAttempts": 3,
                    "MaxRetryAfterNs": ns // 2, "ConnectTimeoutNs": ns // 4, "ConnIdleNs": 30 * ns, "Multiplex": 100},
        "Contract": {"AnswerSlackNs": 20_000_000, "ColdNs": 13 * ns, "ColdShare": 0.32, "DrainGraceNs": ns,
                     "FallMultiple": 2.0, "TipAfterNs": 3 * ns},
        "FamilyInfo": {"WidthByClass": [cls.threads for cls in settings.classes],
                       "CoresByKind": [kind.cores for kind in settings.machine_kinds],
                       "RamOfKindMb": [kind.memory for kind in settings.machine_kinds], "RanksHeeded": True,
                       "HoldsTables": [cls.locks_tables for cls in settings.classes],
                       "ClassWaits": [cls.waits_for_locks for cls in settings.classes],
                       "TellsEveryNs": ns, "Overbooked": "page"},
        "Clients": {}, "Prices": {}, "Report": {"Via": "piggyback", "Columns": list(settings.report_fields)},
        "Discovery": "push",
    }  # fmt: skip


class Demo:
    """One run of the demo."""

    def __init__(self, seconds: float, seed: int = 1) -> None:
        self._seconds, self._directory = seconds, tempfile.TemporaryDirectory(prefix="tealwing-demo-")
        self._clock, self._settings = RealClock(), site.settings(GATEWAYS)
        self._keys = Keys(self._clock)
        self._mix = tuple(
            arrivals.Mix(m.share, m.work * WORK_SCALE, m.spread, m.io, m.memory * WORK_SCALE) for m in arrivals.BRIEF
        )
        self._draws = site.draws(np.random.default_rng((seed, 50)), ENGINES)
        self._engines = {
            f"s-{i}": Engine(self._settings, draw, self._clock, self._keys, seed + i, mix=self._mix)
            for i, draw in enumerate(self._draws)
        }
        self._all, self._state = list(self._engines.values()), dict.fromkeys(self._engines, "up")
        self._coordinator = Coordinator([self._member(name) for name in self._engines])
        self._drained: dict[str, float] = {}  # by engine, when its drain was published
        self._processes: list[subprocess.Popen[bytes]] = []
        self._note = ""
        rate = site.rate(self._draws, MEAN_WORK * WORK_SCALE, LOAD)
        self._rate, self._seed = min(rate, 120.0), seed
        self._load: Load | None = None

    def _member(self, name: str, started: float = 0.0) -> dict[str, Any]:
        number = int(name.partition("-")[2])
        cores = self._draws[number].cores
        return {
            "id": name, "host_port": self._engines[name].address, "locality": "bloemfontein",
            "flavor": f"{cores}-core", "cell": 0, "phase": self._state[name], "size": 1,
            "up_since_ms": round(started * 1e3),
        }  # fmt: skip

    def start(self) -> tuple[tuple[str, int], ...]:
        """Start the gateways; returns the addresses on which they listen."""
        found = []
        for me in range(GATEWAYS):
            config = {
                "name": f"n{me}", "listen": "127.0.0.1:0", "seed": f"{self._seed * 16 + me:x}",
                "coordinator": self._coordinator.address, "known": self._coordinator.known,
                "limits": {"sockets": 1024, "cores": 1.0}, "settings": platform_settings(GATEWAYS, me),
            }  # fmt: skip
            path = Path(self._directory.name) / f"n{me}.json"
            path.write_text(json.dumps(config))
            log = (Path(self._directory.name) / f"n{me}.log").open("wb")
            environment = {**os.environ, "LB_CONFIG": str(path), "MALLOC_ARENA_MAX": "1"}
            environment = {k: v for k, v in environment.items() if k not in ("LB_NAME", "LB_LISTEN")}
            self._processes.append(
                subprocess.Popen([sys.executable, "-O", "-m", "tealwing"], env=environment, stdout=log, stderr=log)
            )
            log.close()
            found.append(self._address(Path(log.name)))
        return tuple(found)

    def _address(self, path: Path) -> tuple[str, int]:
        end = time.monotonic() + START_LIMIT
        while time.monotonic() < end:
            for line in path.read_bytes().splitlines():
                with contextlib.suppress(json.JSONDecodeError):
                    event = json.loads(line)
                    if event.get("event") == "started":
                        host, port = event["listen"]
                        return host, port
            time.sleep(0.05)
        raise RuntimeError(
            f"gateway {path.stem} did not start within {START_LIMIT:g} s; its log ends: {path.read_text()[-500:]}"
        )

    def run(self, addresses: tuple[tuple[str, int], ...]) -> Iterator[State]:
        """Play the load and the faults; yields the state every DISPLAY_INTERVAL seconds."""
        order = LoadSpecification(addresses, self._rate, self._seconds, 96, self._seed, mix=self._mix)
        load = self._load = Load(order)
        thread = threading.Thread(target=load.run, daemon=True)
        begun = time.monotonic()
        for share, fault in (
            (0.25, self._crash),
            (0.45, self._restart),
            (0.55, self._slow),
            (0.8, self._restore_speed),
        ):
            self._clock.after(share * self._seconds, fault)
        self._clock.after(0.35 * self._seconds, self._drain)
        thread.start()
        while thread.is_alive():
            thread.join(DISPLAY_INTERVAL)
            yield self._current_state(time.monotonic() - begun)

    def _current_state(self, seconds: float) -> State:
        assert self._load is not None
        metrics = self._load.summary()
        with self._clock.lock:
            engines = [(name, self._state[name], engine.model.inflight) for name, engine in self._engines.items()]
        return State(seconds, sum(metrics["ends"].values()), metrics["ends"], engines, self._note)

    # Faults; called with the clock's lock held

    def _publish(self, name: str, state: str, started: float = 0.0) -> None:
        self._state[name] = state
        self._coordinator.publish([self._member(name, started)])

    def _crash(self) -> None:
        self._note = "s-1 has crashed"
        threading.Thread(target=self._engines["s-1"].crash, daemon=True).start()
        self._clock.after(1.0, self._publish, "s-1", "removed")

    def _restart(self) -> None:
        self._note = "s-1 is back, cold"
        engine = Engine(
            self._settings, self._draws[1], self._clock, self._keys, self._seed + 1, self._clock.now, mix=self._mix
        )
        self._engines["s-1"] = engine
        self._all.append(engine)
        self._publish("s-1", "up", time.time())

    def _drain(self) -> None:
        self._note = "s-5 is draining"
        self._publish("s-5", "draining")
        self._drained["s-5"] = self._clock.now

    def _slow(self) -> None:
        self._note = "s-2 runs five times slower"
        self._engines["s-2"].slow(5.0)

    def _restore_speed(self) -> None:
        self._note = "s-2 runs at full speed again"
        self._engines["s-2"].slow(1.0)

    def end(self) -> dict[str, Any]:
        """Stop all processes; returns the figures of the run."""
        for process in self._processes:
            process.send_signal(signal.SIGTERM)
        crashed = 0
        for process in self._processes:
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(STOP_LIMIT)
            crashed += process.returncode != 0
            if process.poll() is None:
                process.kill()
        for engine in self._all:
            with contextlib.suppress(OSError):
                engine.crash()
        self._coordinator.stop()
        self._clock.stop()
        assert self._load is not None
        metrics = self._load.summary()
        ends, broken = metrics["ends"], self._rule_violations()
        in_time = sum(self._in_time(name, cls) for cls, name in enumerate(NAMES))
        found = {
            "asked": metrics["asked"],
            "served": ends.get("served", 0),
            "refused": ends.get("refused", 0),
            "failed": sum(n for outcome, n in ends.items() if outcome not in ("served", "refused")),
            "rules_broken": sum(broken.values()) + crashed,
            "in_time": round(in_time / max(metrics["asked"], 1), 4),
        }
        self._directory.cleanup()
        return found

    def _in_time(self, name: str, cls: int) -> int:
        """Number of requests of a class served within the latency objective of a query of mean work."""
        assert self._load is not None
        kind = self._settings.classes[cls]
        objective = kind.latency_objective + kind.objective_per_work * self._mix[cls].work / kind.threads
        return _count_up_to(self._load.latency[name], objective)

    def _rule_violations(self) -> dict[str, int]:
        """Rule violations by kind, from the engines' own records."""
        overdue = twice = 0
        for name, drained_at in self._drained.items():
            overdue += sum(int(at > drained_at + GRACE) for at, _, _ in self._engines[name].record.wants)
        for key, times in self._keys.ran.items():
            twice += times > 1 and bool(key)
        overloaded = sum(engine.model.knowingly_overloaded for engine in self._all)
        return {"drain": overdue, "effects": twice, "cold": overloaded}


def _count_up_to(histogram: Any, seconds: float) -> int:
    """Number of a histogram's values at or below a time."""
    count = 0
    for item in histogram.get_recorded_iterator():
        if item.value_iterated_to > seconds * 1e6:
            break
        count += item.count_added_in_this_iter_step
    return count
