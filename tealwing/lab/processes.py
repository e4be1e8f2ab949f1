"""A trial of gossip over UDP on loopback: each instance is a process with the real transport."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path
from typing import Any

from tealwing import interface as api
from tealwing import log
from tealwing.gossip import keys
from tealwing.gossip.config import GossipConfig, Timing
from tealwing.gossip.health_estimator import OWN_EVIDENCE_SAMPLES, SLOW_RATIO, EngineHealth
from tealwing.gossip.keys import AllowedKey
from tealwing.gossip.messages import Dead, Gossip, Rumour
from tealwing.gossip.send_queue import Priority
from tealwing.gossip.service import GossipService
from tealwing.lab import gossip_trial
from tealwing.lab.network import real_key

JOIN_TIME = 15.0  # s in which all instances must have joined
POLL_INTERVAL = 0.05  # s between two readings of a process's own state


def run_trial(instances: int, liars: int, silent: int, seconds: float, seed: int) -> dict[str, Any]:
    """Run a trial: all instances join, then one engine becomes slow; returns the figures of `gossip_trial.summary`."""
    with tempfile.TemporaryDirectory() as directory:
        for number in range(instances):
            path = Path(directory) / f"n{number}.key"
            keys.write_private(path, real_key(f"n{number}").private)
        slow_at = time.time() + JOIN_TIME
        plan = {
            "folder": directory, "instances": instances, "seed": seed, "slow_at": slow_at, "end": slow_at + seconds,
            "seed_ports": _free_ports(min(3, instances)),
        }  # fmt: skip
        kinds = ["liar"] * liars + ["silent"] * silent
        processes = []
        for number in range(instances):
            kind = kinds[instances - 1 - number] if number >= instances - len(kinds) else "honest"
            instance_plan = json.dumps(plan | {"number": number, "kind": kind})
            processes.append(
                subprocess.Popen(
                    [sys.executable, "-m", "tealwing.lab.processes", instance_plan], stdout=subprocess.PIPE, text=True
                )
            )
        reports = []
        for process in processes:
            out, _ = process.communicate(timeout=JOIN_TIME + seconds + 60)
            reports.append(json.loads(out.splitlines()[-1]))
    honest = [report for report in reports if report["kind"] == "honest"]
    rejected: Counter[str] = Counter()
    for report in reports:
        rejected += Counter(report["rejected"])

    return {
        "summary": True,
        "instances": instances,
        "liars": liars,
        "silent": silent,
        "seed": seed,
    } | gossip_trial.summary(
        [report["converged"] for report in honest],
        max(report["bytes_per_s_max"] for report in reports),
        Timing(),
        sum(report["shunned"] for report in honest),
        [report["known"] for report in honest],
        [report["alone"] for report in honest],
        sum(report["deaths"] for report in honest),
        rejected,
    )


def _free_ports(count: int) -> list[int]:
    import socket

    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def run_instance(plan: dict[str, Any]) -> dict[str, Any]:
    """Run one instance until the trial's end; returns its observations."""
    number, kind, names = plan["number"], plan["kind"], [f"n{i}" for i in range(plan["instances"])]
    ports = plan["seed_ports"]
    listen = ("127.0.0.1", ports[number] if number < len(ports) else 0)
    allowed = tuple(AllowedKey(name, real_key(name).public) for name in names)
    seeds = tuple(("127.0.0.1", port) for port in ports)
    key = str(Path(plan["folder"]) / f"n{number}.key")
    observer, truth = gossip_trial.SimulatedObserver((plan["seed"], number)), [1.0] * gossip_trial.ENGINES
    begun = time.time()
    found: dict[str, Any] = {"kind": kind, "known": None, "alone": None, "converged": None, "shunned": 0}
    latency_factors: dict[tuple[int, int], float] = {}
    lock = threading.Lock()

    def evidence() -> tuple[dict[tuple[int, int], EngineHealth], int]:
        with lock:
            own = observer.evidence()
        if kind == "liar":
            return {key: EngineHealth(key[0], 0, 1.0 if truth[key[0]] > 1 else 9.0, 0.0, 1e5) for key in own}, len(
                truth
            )
        return own, len(truth)

    def apply_estimates(event: api.Event) -> None:
        if isinstance(event, api.EngineHealthEstimates):
            latency_factors.clear()
            latency_factors.update(event.latency_factors)

    log.logger.disabled = True
    service = GossipService(
        GossipConfig(names[number], listen, key, allowed, seeds, Timing(), None, None), evidence, apply_estimates
    )
    deaths = Counter[str]()
    if kind == "silent":
        service.suppress_relay = True
    service.on_event = lambda event: deaths.update([event.log_name])
    service.start()
    seconds: dict[int, int] = {}
    sent, seen = 0, time.time()
    while (now := time.time()) < plan["end"]:
        time.sleep(POLL_INTERVAL)
        if now >= plan["slow_at"]:
            truth[2] = gossip_trial.TIMES_SLOWER
        with lock:
            observer.advance(truth, now - seen)
            own = observer.evidence()
        seen = now
        with service.lock:
            total, live = service.node.send_queue.sent_bytes, service.node.members.live
            if kind == "liar":
                _accuse_others(service)
        seconds[int(now)] = seconds.get(int(now), 0) + total - sent
        sent = total
        if live == plan["instances"] - 1 and found["converged"] is None:
            found["converged"] = now - begun
        observation = own[2, 0]
        sees = observation.samples >= OWN_EVIDENCE_SAMPLES and observation.slowness >= SLOW_RATIO
        if truth[2] > 1:
            if sees and found["alone"] is None:
                found["alone"] = now - plan["slow_at"]
            if (sees or (2, 0) in latency_factors) and found["known"] is None:
                found["known"] = now - plan["slow_at"]
        found["shunned"] += sum(key[0] != 2 or truth[2] == 1 for key in list(latency_factors))
    found["bytes_per_s_max"] = max(seconds.values(), default=0)
    found["rejected"] = dict(service.node.counters.rejected)
    found["deaths"] = deaths["gossip_dead"]
    return found


def _accuse_others(service: GossipService) -> None:
    node = service.node
    false_rumours: list[Rumour] = [
        Dead(m.alive.name, m.alive.boot, m.alive.incarnation) for m in list(node.members)[:8]
    ]
    for member in node.members.sample(1):
        node.send(Priority.RUMOUR, member.address, Gossip(), false_rumours)


if __name__ == "__main__":
    print(json.dumps(run_instance(json.loads(sys.argv[1]))), flush=True)
