"""A trial: processes of the program, a proxy on every peer link, a scenario, a load, and a history of it all."""

from __future__ import annotations

import json
import random
import signal
import tempfile
import threading
import time
import traceback
from pathlib import Path
from typing import Any

from tealwing.lab import demo
from tealwing.lab.faults.proxy import Proxy
from tealwing.lab.faults.scenario import Scenario, Step
from tealwing.lab.faults.weather import Weather
from tealwing.lab.rig.engines import Engines
from tealwing.lab.rig.history import History
from tealwing.lab.rig.ports import free_port
from tealwing.lab.rig.process import Process
from tealwing.lab.standins.coordinator import Coordinator
from tealwing.peers.control import Caller, Turned
from tealwing.peers.plan import Address

SAMPLE = 0.25  # s between two looks at each process
ASK_LIMIT = 1.0  # s that a look waits for its answer
SETTLE = 15.0  # s for all to be ready and in touch before the load begins
POLL = 0.05  # s between two looks while something is waited for
ASIDE = "same"  # in a scenario: whoever the step before was about


class Trial:
    """Everything of one trial; used as a context, it ends all that it started."""

    def __init__(
        self,
        scenario: Scenario,
        procs: int,
        seconds: float,
        seed: int,
        folder: Path | None = None,
        sections: str = "",
        beat_ms: int = 200,
        stale: int = 1,
        engines: int = 0,
    ) -> None:
        """engines: stand-ins for clients' queries, of so many; without them clients are refused.

        sections: further sections of every process's operators' file; DATA, NAME and STALE in it are filled in.
        """
        self.scenario, self.seconds, self.seed = scenario, seconds, seed
        self._own = tempfile.TemporaryDirectory(prefix="tealwing-fleet-") if folder is None else None
        self.folder: Path = Path(self._own.name) if folder is None else folder  # type: ignore[union-attr]
        self.folder.mkdir(parents=True, exist_ok=True)
        self.history = History(self.folder / "history.jsonl")
        self.random = random.Random(f"{seed}/director")
        self.names = [f"n{number}" for number in range(procs)]
        self.weather = Weather(self.names, seed)
        self.proxy = Proxy(self.weather, free_port)
        self.engines = Engines(engines, procs, seed)
        self.coordinator = Coordinator(self.engines.members())
        self.processes: dict[str, Process] = {}
        self.faults = 0
        self.stopping = threading.Event()
        self.samples: dict[str, dict[str, Any]] = {}  # the last look at each process
        self.holder = ""  # who held the lease, as the load last saw it
        self._sections, self._stale, self._beat = sections, stale, beat_ms
        self._last = ""
        self._spans: dict[Any, Any] = {}
        self._threads: list[threading.Thread] = []
        self.begun = self.ended = 0.0
        self.problems: list[str] = []  # of the rig itself: the trial then shows nothing
        peer_ports = {name: free_port() for name in self.names}
        for number, name in enumerate(self.names):
            listen: Address = ("127.0.0.1", peer_ports[name])
            control: Address = ("127.0.0.1", free_port())
            self.proxy.set_target(name, listen)
            self.processes[name] = Process(
                name, self.folder / name, self._config(number), self._conf(name, listen, control), control
            )

    def _config(self, number: int) -> dict[str, Any]:
        settings = demo.facts(len(self.names), number)
        settings["Allowed"] = settings["Allowed"] | {"Peers": True}
        return {
            "name": self.names[number], "listen": "127.0.0.1:0", "admin": "127.0.0.1:0",
            "seed": f"{self.seed * 64 + number + 1:x}", "coordinator": self.coordinator.address,
            "known": self.coordinator.known, "limits": {"sockets": 512, "cores": 1.0}, "settings": settings,
        }  # fmt: skip

    def _conf(self, name: str, listen: Address, control: Address) -> str:
        lines = ["peers", f"    name {name}", "    fleet trial", f"    control 127.0.0.1:{control[1]}", "    faults on"]
        lines += [f"    beat {self._beat}ms"]
        for other in self.names:
            host, port = listen if other == name else self.proxy.address(name, other)
            lines.append(f"    member {other} {host}:{port}")
        data = str(self.folder / name / "data")
        text = self._sections.replace("DATA", data).replace("NAME", name).replace("STALE", str(self._stale))
        return "\n".join(lines) + "\n" + text

    def peer_address(self, name: str) -> Address:
        """Where a process's peer link really listens."""
        return self.proxy.target(name)

    # The context

    def __enter__(self) -> Trial:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """End every process, thread and listener that this trial started, and its folder if it is its own."""
        self.stopping.set()
        for process in self.processes.values():
            process.kill()
        for thread in self._threads:
            thread.join(15.0)
        for process in self.processes.values():  # one that the scenario was just about to start
            process.kill()
        self.proxy.stop()
        self.coordinator.stop()
        self.engines.stop()
        self.history.close()
        if self._own is not None:
            self._own.cleanup()

    def spawn(self, run: Any, name: str) -> None:
        """A thread of the trial; what it raises is a problem of the rig."""

        def work() -> None:
            try:
                run()
            except Exception:
                self.problems.append(f"{name}: {traceback.format_exc(limit=-4)}")

        thread = threading.Thread(target=work, name=name, daemon=True)
        self._threads.append(thread)
        thread.start()

    def start(self) -> None:
        """Start all, and wait until each hears all others."""
        self.proxy.start()
        for process in self.processes.values():
            process.start()
        for process in self.processes.values():
            process.ready()
        self.spawn(self._look, "samples")
        if not self.wait(self.in_touch, SETTLE):
            raise RuntimeError(f"the processes did not hear each other within {SETTLE:g} s: {self.samples}")

    def wait(self, holds: Any, seconds: float) -> bool:
        """Wait for something to hold; whether it did in time."""
        end = time.monotonic() + seconds
        while not holds():
            if time.monotonic() > end or self.stopping.is_set():
                return False
            time.sleep(POLL)
        return True

    def in_touch(self) -> bool:
        """Whether every process that runs hears all others that run, and is led if it is replicated."""
        running = {name for name, process in self.processes.items() if process.running and not process.stopped}
        for name in running:
            sample = self.samples.get(name)
            if sample is None:
                return False
            heard = {peer for peer, state in sample["peers"].items() if state == "alive"}
            if not running - {name} <= heard or sample.get("leader") == "":
                return False
        return True

    def leader(self) -> str:
        """Who leads, as the samples say: the leader of the highest term; empty where none is known."""
        led = [(s.get("term", 0), name) for name, s in self.samples.items() if s.get("role") == "leader"]
        return max(led)[1] if led else ""

    def caller(self, name: str, limit: float = 1.0) -> Caller:
        """A connection to a process's control address."""
        return Caller(self.processes[name].control, limit)

    # Samples

    def _look(self) -> None:
        callers: dict[str, Caller] = {}
        while not self.stopping.is_set():
            for name, process in self.processes.items():
                if not process.running or process.stopped:
                    self.samples.pop(name, None)
                    continue
                try:
                    if name not in callers:
                        callers[name] = self.caller(name)
                    begun = self.history.now()
                    found = callers[name].ask("status", ASK_LIMIT)
                except (OSError, Turned):
                    if (old := callers.pop(name, None)) is not None:
                        old.close()
                    self.samples.pop(name, None)
                    continue
                sample: dict[str, Any] = {
                    "process": name, "asked": round(begun, 6), "boot": found["boot"],
                    "peers": {peer["name"]: peer["state"] for peer in found["peers"]},
                    **{key: found[key] for key in ("role", "term", "leader", "commit", "applied", "unsure", "phase")
                       if key in found},
                }  # fmt: skip
                self.samples[name] = sample
                self.history.add("sample", **sample)
            self.stopping.wait(SAMPLE)
        for caller in callers.values():
            caller.close()

    # Faults

    def play(self) -> None:
        """The scenario's steps, each when it is due."""
        begun = self.begun
        due = begun
        for step in self.scenario.step:
            due = (begun + step.at * self.seconds if step.at is not None else due) + step.after
            for turn in range(step.times):
                if turn:
                    due += step.every
                while (left := due - time.monotonic()) > 0:
                    if self.stopping.wait(left):
                        return
                if step.when == "leader" and any("role" in sample for sample in self.samples.values()):
                    self.wait(lambda: bool(self.leader()), step.within)
                elif step.when == "settled":
                    self.wait(self.in_touch, step.within)
                self._apply(step)
                due = max(due, time.monotonic())

    def _who(self, word: str) -> str:
        if word in self.names:
            return word
        running = [name for name, process in self.processes.items() if process.running and not process.stopped]
        leader = self.leader()
        if word == ASIDE and self._last:
            return self._last
        if word == "leader" and leader:
            return leader
        if word == "holder" and self.holder:
            return self.holder
        followers = [name for name in running if name != leader] or running or self.names
        return self.random.choice(followers if word == "follower" else running or self.names)

    def _apply(self, step: Step) -> None:
        name = ""
        if step.who and step.who != "all":
            name = self._last = self._who(step.who)
        match step.do:
            case "partition":
                groups = self._groups(step)
                self._change(lambda: self.weather.partition(groups))
                self._span("cut", "partition", groups=groups)
            case "isolate":
                self._change(lambda: self.weather.isolate(name))
                self._span("cut", "isolate", who=name)
            case "cut":
                source, target = self._pair(step)
                self._change(lambda: self.weather.change(source, target, cut=True))
                self._span("cut", "cut", source=source, target=target)
            case "link":
                source, target = self._pair(step)
                fields = {"drop": step.drop, "delay": step.delay_ms / 1e3, "jitter": step.jitter_ms / 1e3,
                          "duplicate": step.duplicate, "reorder": step.reorder}  # fmt: skip
                pairs = [(a, b) for a in self.names for b in self.names
                         if a != b and source in (a, "all") and target in (b, "all")]  # fmt: skip
                self._change(lambda: self.weather.change_all(pairs, **fields))
                self._span(("link", source, target), "link", source=source, target=target, **fields)
            case "heal":
                self._change(self.weather.heal)
                self._over("cut", *(key for key in self._spans if isinstance(key, tuple) and key[0] == "link"))
            case "kill":
                self._kill(name)
            case "start":
                self._start(name, step.disk)
            case "stop":
                self.processes[name].signal(signal.SIGSTOP)
                self._span(("stop", name), "stop", who=name)
            case "cont":
                self.processes[name].signal(signal.SIGCONT)
                self._over(("stop", name))
            case "restart":
                self._kill(name, step.gently)
                self.stopping.wait(step.pause)
                self._start(name, step.disk)
            case "clock":
                self._tell(name, "fault.clock", step_s=step.step_s, rate=step.rate)
            case "disk":
                self._tell(name, "fault.disk", fault=step.fault, count=step.count)
            case "save-disk":
                for one in self.names if step.who == "all" else [name]:
                    self.processes[one].save_disk()
                    self.history.add("disk-saved", who=one)
            case "power-loss":
                self._power_loss(step)

    def _change(self, how: Any) -> None:
        with self.proxy.lock:
            how()

    def _pair(self, step: Step) -> tuple[str, str]:
        source = step.source if step.source == "all" else self._who(step.source)
        target = step.target if step.target == "all" else self._who(step.target)
        if source == target and source != "all":
            target = next(name for name in self.names if name != source)
        return source, target

    def _groups(self, step: Step) -> list[list[str]]:
        if isinstance(step.groups, list):
            return step.groups
        names = list(self.names)
        self.random.shuffle(names)
        half = len(names) // 2
        if step.groups == "leader-minority" and (leader := self.leader()):
            names.remove(leader)
            names.insert(0, leader)
            return [sorted(names[: max(1, half)]), sorted(names[max(1, half) :])]
        return [sorted(names[:half]), sorted(names[half:])]

    def _fault(self, what: str, **fields: Any) -> None:
        self.faults += 1
        self.history.add("fault", what=what, leader=self.leader(), **fields)

    def _span(self, key: Any, what: str, **fields: Any) -> None:
        """A fault that lasts, from now on; one of the same key ends. A cut is said with the directions cut."""
        self._over(key)
        self._spans[key] = True
        if key == "cut":
            fields["cuts"] = sorted(self.weather.cuts())
        self._fault(what, span=str(key), **fields)

    def _over(self, *keys: Any) -> None:
        for key in list(keys):
            if self._spans.pop(key, None):
                self.faults += 1
                self.history.add("fault", what="over", span=str(key), over=True)

    def _kill(self, name: str, gently: bool = False) -> None:
        self._over(("stop", name))
        if self.processes[name].running:
            self._span(("down", name), "kill", who=name, gently=gently)
            if gently:
                self.processes[name].terminate()
            self.processes[name].kill()

    def _start(self, name: str, disk: str) -> None:
        process = self.processes[name]
        if process.running:
            return
        process.bring_disk(disk)
        self.history.add("starting", who=name)  # it may speak from here on, and is ready later
        process.start()
        if disk != "kept":
            self._fault("disk", who=name, disk=disk)
        self.spawn(lambda: self._await_ready(name), f"ready-{name}")

    def _await_ready(self, name: str) -> None:
        process = self.processes[name]
        try:
            process.ready()
        except Exception:
            if self.stopping.is_set() or not process.running:  # killed again meanwhile
                return
            raise
        self._over(("down", name))
        self.history.add("ready", process=name, start=process.starts)

    def _tell(self, name: str, call: str, **fields: Any) -> None:
        """A fault within a process, through its control address."""
        try:
            caller = self.caller(name)
            try:
                caller.ask(call, ASK_LIMIT, **fields)
            finally:
                caller.close()
            self._fault(call.removeprefix("fault."), who=name, **fields)
        except (OSError, Turned) as error:
            self.history.add("fault-not-taken", who=name, call=call, why=str(error))

    def _power_loss(self, step: Step) -> None:
        """All at once, and back in any order: some late, some with an older disk, over links that lose frames."""
        names = [name for name in self.names if self.processes[name].running]
        for name in names:
            self._span(("down", name), "kill", who=name)
            self.processes[name].signal(signal.SIGKILL)
        for name in names:
            self.processes[name].kill()
        self.history.add("power", what="lost", who=names)
        old = self.random.sample(names, min(self._stale, round(step.old * len(names)))) if step.old else []
        waits = {name: self.random.uniform(0.0, step.pause) for name in names}
        if step.late and names:
            waits[self.random.choice(names)] = step.late
        if step.drop_on_return:
            for a in self.names:
                for b in self.names:
                    if a != b and self.random.random() < 0.25:
                        self._change(lambda a=a, b=b: self.weather.change(a, b, drop=step.drop_on_return))
            self._span(("link", "power", ""), "link", source="some", target="some", drop=step.drop_on_return)
        lost = time.monotonic()
        for name in sorted(waits, key=lambda name: waits[name]):
            if self.stopping.wait(max(0.0, lost + waits[name] - time.monotonic())):
                return
            self.history.add("power", what="back", who=[name], old=name in old)
            self._start(name, "old" if name in old else "kept")

    # The whole

    def run(self, load: Any) -> None:
        """Load and scenario together, then everything healed, and what the load still looks at in the end."""
        self.begun = time.monotonic()
        self.history.add("begin", procs=len(self.names), seconds=self.seconds, scenario=self.scenario.title)
        load.start(self)
        self.spawn(self.play, "scenario")
        self.stopping.wait(self.seconds)
        load.stop()
        self.history.add("load-over")
        self._change(self.weather.heal)
        self._over(*list(self._spans))
        for name, process in self.processes.items():
            process.signal(signal.SIGCONT)
            if not process.running:
                self._start(name, "kept")
        for process in self.processes.values():
            process.ready()
        healed = time.monotonic()
        if not self.wait(self.in_touch, SETTLE):
            self.history.add("never-settled", samples=self.samples)
        self.history.add("settled", after=round(time.monotonic() - healed, 3))
        load.finish(self)
        self.ended = self.history.now()
        self.history.add("end")
        self.stopping.set()

    def trouble(self) -> list[str]:
        """What the processes' logs say that must never be said."""
        return [f"{name}: {what}" for name, process in self.processes.items() for what in process.trouble()]


def write_json(path: Path, data: Any) -> None:
    """A file of JSON, whole."""
    path.write_text(json.dumps(data, indent=1) + "\n")
