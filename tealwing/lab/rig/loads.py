"""The loads of trials: what clients do meanwhile, which judges look at it, and the figures that come of it."""

from __future__ import annotations

import contextlib
import itertools
import random
import socket
import threading
from collections import Counter
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from tealwing.lab.client import Session
from tealwing.lab.judges import clients, copies, echo, leases, register, views
from tealwing.lab.judges.verdict import Violation
from tealwing.lab.rig.history import Event, operations
from tealwing.lab.standins.resource import Resource
from tealwing.peers.control import Caller, Turned
from tealwing.replica import commands

if TYPE_CHECKING:
    from tealwing.lab.rig.trial import Trial

PAUSE = 0.02  # s between two operations of one client
PING_WAIT = 0.8  # s that a ping waits

Judge = Callable[[Sequence[Event], float], list[Violation]]


class Load(Protocol):
    """What clients do during a trial."""

    judges: Sequence[Judge]

    def start(self, trial: Trial) -> None:
        """Begin."""

    def stop(self) -> None:
        """Begin nothing more, and let what is open end."""

    def finish(self, trial: Trial) -> None:
        """All is healed: look at what must hold in the end, into the history."""

    def figures(self, events: Sequence[Event]) -> dict[str, Any]:
        """What came of it."""


class Clients:
    """Some threads that do one thing after another until they are stopped."""

    def __init__(self) -> None:
        self.stopped = threading.Event()
        self.threads: list[threading.Thread] = []

    def spawn(self, run: Callable[[], None], name: str) -> None:
        """One more client."""
        thread = threading.Thread(target=run, name=name, daemon=True)
        self.threads.append(thread)
        thread.start()

    def stop(self) -> None:
        """Let them end."""
        self.stopped.set()
        for thread in self.threads:
            thread.join(20.0)


class Line:
    """A client's connection to one process, made anew where it broke."""

    def __init__(self, trial: Trial, name: str) -> None:
        self._trial, self.name = trial, name
        self._caller: Caller | None = None

    def ask(self, call: str, limit: float, **fields: Any) -> dict[str, Any]:
        """One call; Turned or OSError where it did not come to an answer."""
        if self._caller is None:
            self._caller = self._trial.caller(self.name, 0.5)
        try:
            return self._caller.ask(call, limit, **fields)
        except OSError:
            self.close()
            raise

    def close(self) -> None:
        """End the connection."""
        if self._caller is not None:
            self._caller.close()
            self._caller = None


def ping(trial: Trial, line: Line, to: str, text: str, wait: float, **marks: Any) -> None:
    """One ping from the line's process, into the history."""
    number = trial.history.invoke("ping", line.name, to=to, text=text, **marks)
    try:
        answer = line.ask("ping", wait + 1.0, to=to, text=text, wait_s=wait)
    except (Turned, OSError) as error:
        trial.history.complete(number, "fail", why=str(error))
        return
    trial.history.complete(number, "ok", by=answer["by"], text=answer["text"], took_ms=answer["took_ms"])


class EchoLoad:
    """From every process pings to all others in turn: what the link alone can show."""

    judges: Sequence[Judge] = (echo.judge, views.judge)

    def __init__(self) -> None:
        self._clients = Clients()

    def start(self, trial: Trial) -> None:
        """One client a process."""
        for name in trial.names:
            self._clients.spawn(lambda name=name: self._ping(trial, name), f"load-{name}")  # type: ignore[misc]

    def _ping(self, trial: Trial, name: str) -> None:
        line, turn = Line(trial, name), 0
        others = [other for other in trial.names if other != name]
        while not self._clients.stopped.is_set():
            to, turn = others[turn % len(others)], turn + 1
            ping(trial, line, to, f"{name}-{turn}", PING_WAIT)
            self._clients.stopped.wait(PAUSE)
        line.close()

    def stop(self) -> None:
        """Begin nothing more."""
        self._clients.stop()

    def finish(self, trial: Trial) -> None:
        """Every pair must reach each other once all is healed."""
        for name in trial.names:
            line = Line(trial, name)
            for to in trial.names:
                if to != name:
                    ping(trial, line, to, "last", 3.0, last=True)
            line.close()

    def figures(self, events: Sequence[Event]) -> dict[str, Any]:
        """How many pings, how many were answered, in what time."""
        pings = operations(events, "ping")
        took = sorted(ping.result["took_ms"] for ping in pings if ping.word == "ok")
        return {
            "operations": len(pings),
            "answered": len(took),
            "unreached_at_end": sum(1 for ping in pings if ping.fields.get("last") and ping.word != "ok"),
            "ping_ms_p50": percentile(took, 0.5),
            "ping_ms_p99": percentile(took, 0.99),
        }


def percentile(values: Sequence[float], share: float) -> float | None:
    """The value that so large a share of the sorted values does not pass; None of none."""
    if not values:
        return None
    return round(values[min(len(values) - 1, int(share * len(values)))], 3)


KEYS = 4  # registers that are in use at one time
DO_WAIT = 2.0  # s that an operation waits
QUIET = 10.0  # s in the end in which all copies must have applied the same


class RegisterLoad:
    """Writes and reads of registers through every process, each write of a value of its own."""

    judges: Sequence[Judge] = (register.judge, copies.judge, views.judge)

    def __init__(self) -> None:
        self._clients = Clients()
        self._values = itertools.count(1)
        self.keys: set[str] = set()

    def start(self, trial: Trial) -> None:
        """One client that writes and one that reads a process."""
        for name in trial.names:
            self._clients.spawn(lambda name=name: self._run(trial, name, True), f"load-w-{name}")  # type: ignore[misc]
            self._clients.spawn(lambda name=name: self._run(trial, name, False), f"load-r-{name}")  # type: ignore[misc]

    def _run(self, trial: Trial, name: str, writes: bool) -> None:
        line, rng = Line(trial, name), random.Random(f"{trial.seed}/{name}/{writes}")
        client, sequence = f"{name}-{'w' if writes else 'r'}-{trial.seed}", 0
        began = trial.history.now()
        while not self._clients.stopped.is_set():
            generation = int((trial.history.now() - began) / 2.0)  # s that a set of registers is in use
            key = f"k{generation}-{rng.randrange(KEYS)}"
            self.keys.add(key)
            if writes and rng.random() < 0.7:
                sequence += 1
                put(trial, line, key, f"v{next(self._values)}", client, sequence)
            else:
                get(trial, line, key)
            self._clients.stopped.wait(PAUSE)
        line.close()

    def stop(self) -> None:
        """Begin nothing more."""
        self._clients.stop()

    def finish(self, trial: Trial) -> None:
        """The last read of every register, at another process each; then all copies' hashes."""
        lines = [Line(trial, name) for name in trial.names]
        for number, key in enumerate(sorted(self.keys)):
            get(trial, lines[number % len(lines)], key, wait=5.0, last=True)
        digests(trial, lines)
        for line in lines:
            status = line.ask("replica.status", 5.0)
            trial.history.add("terms", process=line.name, leaders=status["leaders"], refused=status["refused_stale"])
            line.close()

    def figures(self, events: Sequence[Event]) -> dict[str, Any]:
        """What was acknowledged and what of it is lost, stale or divergent; how long a leader was missed."""
        ops = operations(events, "put", "get")
        writes = [op for op in ops if op.op == "put" and op.word == "ok"]
        rules = Counter(v.rule for judge in (register.judge, copies.judge) for v in judge(events, 0.0))
        took = sorted((op.end - op.begin) * 1e3 for op in writes)
        failovers, catchups = failover_ms(events), catchup_ms(events)
        return {
            "operations": len(ops),
            "acknowledged": len(writes),
            "lost": rules["lost"],
            "stale_reads": rules["stale"] + rules["invented"],
            "divergent": rules["divergent"],
            "two_leaders": rules["two-leaders"],
            "unknown": sum(1 for op in ops if op.word == "unknown"),
            "failovers": len(failovers),
            "failover_ms_p50": percentile(failovers, 0.5),
            "failover_ms_max": percentile(failovers, 1.0),
            "catchup_ms": percentile(catchups, 1.0),
            "write_ms_p50": percentile(took, 0.5),
            "write_ms_p99": percentile(took, 0.99),
        }


def digests(trial: Trial, lines: Sequence[Line]) -> None:
    """The hashes of all copies at one index, which all must have applied at some moment; else that they never had."""
    end = trial.history.now() + QUIET
    while trial.history.now() < end:
        try:
            told = {line.name: line.ask("replica.digest", 2.0) for line in lines}
        except (Turned, OSError):
            continue
        if len({each["applied"] for each in told.values()}) == 1:
            for name, each in told.items():
                trial.history.add("digest", process=name, applied=each["applied"], digest=each["digest"])
            return
        trial.stopping.wait(0.05)
    trial.history.add("copies-differ", after=QUIET)


def put(trial: Trial, line: Line, key: str, value: str, client: str, sequence: int) -> None:
    """One write from the line's process, into the history."""
    number = trial.history.invoke("put", line.name, key=key, value=value)
    body = msgspec.msgpack.encode(commands.Put(key, value.encode()))
    try:
        told = line.ask("replica.do", DO_WAIT + 1.0, body=body, client=client, sequence=sequence, wait_s=DO_WAIT)
    except ConnectionRefusedError as error:  # nobody heard it
        trial.history.complete(number, "fail", why=str(error))
        return
    except (Turned, OSError) as error:
        trial.history.complete(number, "unknown", why=str(error))
        return
    words = {"ok": "ok", "unknown": "unknown"}
    why = {"why": told["why"]} if told.get("why") else {}
    trial.history.complete(number, words.get(told["word"], "fail"), index=told.get("index"), **why)


def get(trial: Trial, line: Line, key: str, wait: float = DO_WAIT, **marks: Any) -> None:
    """One read from the line's process, into the history."""
    number = trial.history.invoke("get", line.name, key=key, **marks)
    try:
        told = line.ask("replica.get", wait + 1.0, key=key, wait_s=wait)
    except (Turned, OSError) as error:
        trial.history.complete(number, "fail", why=str(error))
        return
    if told["word"] != "ok":
        trial.history.complete(number, "fail", why=told.get("why"))
        return
    value = told["value"][0].decode() if told["found"] else None
    trial.history.complete(number, "ok", value=value, applied=told["applied"])


def failover_ms(events: Sequence[Event]) -> list[float]:
    """For each fault that took the leader away: ms until a write that began after it was acknowledged."""
    found = []
    writes = sorted((op for op in operations(events, "put") if op.word == "ok"), key=lambda op: op.end)
    for event in events:
        if event["kind"] != "fault" or not event.get("leader"):
            continue
        leader = event["leader"]
        hit = event.get("who") == leader and event["what"] in ("kill", "stop", "isolate")
        hit = hit or (event["what"] == "partition" and any(a == leader for a, _ in event["cuts"]))
        if not hit:
            continue
        done = next((op.end for op in writes if op.begin > event["t"]), None)
        if done is not None:
            found.append((done - event["t"]) * 1e3)
    return sorted(found)


def catchup_ms(events: Sequence[Event]) -> list[float]:
    """For each process that came back: ms until it had applied what was committed when it did."""
    found = []
    committed, waiting = 0, dict[str, tuple[float, int]]()
    for event in events:
        if event["kind"] == "ready":
            waiting[event["process"]] = event["t"], committed
        elif event["kind"] == "sample" and "applied" in event:
            committed = max(committed, event["commit"])
            begun = waiting.get(event["process"])
            if begun is not None and event["applied"] >= begun[1]:
                found.append((event["t"] - begun[0]) * 1e3)
                del waiting[event["process"]]
    return sorted(found)


LEASE, LEASE_TTL = "lab", 2.0  # s


class LeaseLoad:
    """Every process wants one lease, and acts on a resource of the laboratory while it holds it."""

    judges: Sequence[Judge] = (leases.judge, copies.judge, views.judge)

    def __init__(self) -> None:
        self._clients = Clients()
        self._resource: Resource | None = None
        self.careless = False  # on purpose: the tasks go on when their lease is lost
        self.fenced = True
        self._span = (0.0, 0.0)

    def start(self, trial: Trial) -> None:
        """The resource, and a watcher that has every start of a process want the lease."""
        self._resource = resource = Resource(trial.history.add)
        resource.fenced = self.fenced
        resource.start()
        self._clients.spawn(lambda: self._want(trial, resource.address), "load-leases")
        self._clients.spawn(lambda: self._who(trial), "load-holder")
        begun = trial.history.now()
        self._span = begun, begun

    def _want(self, trial: Trial, address: str) -> None:
        told: dict[str, int] = {}
        while not self._clients.stopped.wait(0.1):
            for name, process in trial.processes.items():
                if not process.running or process.stopped or told.get(name) == process.pid:
                    continue
                line, pid = Line(trial, name), process.pid
                try:
                    line.ask("lease.run", 1.0, name=LEASE, ttl_s=LEASE_TTL, resource=address, careless=self.careless)
                    told[name] = pid or 0
                except (Turned, OSError):
                    pass
                line.close()

    def _who(self, trial: Trial) -> None:
        """Who holds it, for faults that are meant for the holder."""
        while not self._clients.stopped.wait(0.1):
            for name, process in trial.processes.items():
                if not process.running or process.stopped:
                    continue
                line = Line(trial, name)
                with contextlib.suppress(Turned, OSError):
                    found = line.ask("lease.list", 0.5)["here"]
                    if any(each["name"] == LEASE and each["valid"] for each in found):
                        trial.holder = name
                line.close()

    def stop(self) -> None:
        """Begin nothing more; the tasks go on until the resource is gone."""
        self._clients.stop()

    def finish(self, trial: Trial, alone: bool = True) -> None:
        """Let it go on a little, all being well; then what each tenure was, and, if alone, all copies' hashes."""
        trial.stopping.wait(2.0)
        self._span = self._span[0], trial.history.now()
        if self._resource is not None:
            self._resource.stop()
        if alone:
            RegisterLoad().finish(trial)
        holders = {}
        for name in trial.names:
            for event in trial.processes[name].events():
                if event.get("event") == "lease_gained" and event.get("name") == LEASE:
                    holders[event["token"]] = name
        for tenure in leases.tenures(trial.history.events):
            fields = {"from": tenure.begin, "to": tenure.end, "token": tenure.token, "actions": tenure.actions}
            trial.history.add("held", process=holders.get(tenure.token, "?"), **fields)

    def figures(self, events: Sequence[Event]) -> dict[str, Any]:
        """Actions, and what must be none of them; how long nobody held the lease."""
        acts = [event for event in events if event["kind"] == "act"]
        rules = Counter(violation.rule for violation in leases.judge(events, 0.0))
        moves = [seconds * 1e3 for seconds in leases.handovers(events)]
        gaps = leases.idle(events, *self._span)
        return {
            "operations": len(acts),
            "actions": sum(1 for act in acts if act["accepted"]),
            "overlaps": rules["overlap"],
            "stale_accepted": rules["stale-accepted"] + rules["token"],
            "refused_stale": sum(1 for act in acts if not act["accepted"]),
            "tenures": len(leases.tenures(events)),
            "handover_ms_p50": percentile(moves, 0.5),
            "handover_ms_max": percentile(moves, 1.0),
            "idle_ms_max": round(gaps[-1] * 1e3, 1),
            "divergent": sum(1 for v in copies.judge(events, 0.0) if v.rule == "divergent"),
        }


ASK_EVERY = 0.1  # s between two queries of one client, and between two looks at readiness
QUERY_LIMIT = 3.0  # s: a lookup's deadline


class PowerLoad:
    """All at once: registers, a lease, clients with queries, and who says that it is ready; for a power loss of all."""

    judges: Sequence[Judge] = (register.judge, leases.judge, copies.judge, views.judge, clients.judge)

    def __init__(self) -> None:
        self._registers, self._leases, self._clients = RegisterLoad(), LeaseLoad(), Clients()
        self._calls = itertools.count(1)

    def start(self, trial: Trial) -> None:
        """Everything."""
        self._registers.start(trial)
        self._leases.start(trial)
        for name in trial.names:
            self._clients.spawn(lambda name=name: self._query(trial, name), f"load-q-{name}")  # type: ignore[misc]
            self._clients.spawn(lambda name=name: self._look(trial, name), f"load-ready-{name}")  # type: ignore[misc]

    def _query(self, trial: Trial, name: str) -> None:
        """Queries of one client of one gateway, whenever it listens; one that can't connect asked nobody."""
        session: Session | None = None
        session_of = 0
        while not self._clients.stopped.wait(ASK_EVERY):
            process = trial.processes[name]
            address, start = process.address("listen"), process.starts
            if address is None or process.stopped:
                continue
            call = f"{trial.seed & 0xFFFF:04x}{next(self._calls):012x}"
            text = f"/* op=lookup,call={call},ttl=3000,org=graan-koop,work=2.0,heap_mb=4 */ SELECT a FROM sales_1.t"
            try:
                if session is None or session_of != start:
                    session, session_of = Session(address), start
            except OSError:
                session = None
                continue
            number = trial.history.invoke("query", name, start=start)
            try:
                answer = session.ask(text.encode(), QUERY_LIMIT)
                trial.history.complete(number, "ok", word=answer.word, text=answer.text)
            except OSError as error:
                trial.history.complete(number, "unknown", why=str(error), lives=process.running)
                session.close()
                session = None
        if session is not None:
            session.close()

    def _look(self, trial: Trial, name: str) -> None:
        """What readiness says, whenever that changes."""
        said = ""
        while not self._clients.stopped.wait(ASK_EVERY / 2):
            process = trial.processes[name]
            address = process.address("admin")
            word = "down"
            if address is not None and not process.stopped:
                with contextlib.suppress(OSError):
                    word = readiness(address)
            if word != said:
                said = word
                trial.history.add("readiness", process=name, word=word, start=process.starts)

    def stop(self) -> None:
        """Begin nothing more."""
        self._clients.stop()
        self._registers.stop()
        self._leases.stop()

    def finish(self, trial: Trial) -> None:
        """What the registers and the lease look at."""
        self._leases.finish(trial, alone=False)
        self._registers.finish(trial)

    def figures(self, events: Sequence[Event]) -> dict[str, Any]:
        """What was kept, who was refused, and how service came back."""
        found = self._registers.figures(events)
        lost = next((event["t"] for event in events if event["kind"] == "power" and event["what"] == "lost"), None)
        writes = [op for op in operations(events, "put") if op.word == "ok"]
        queries = operations(events, "query")
        leased = self._leases.figures(events)
        told: dict[str, Any] = {
            "acknowledged_before": sum(1 for op in writes if lost is not None and op.end < lost),
            **{key: found[key] for key in ("operations", "acknowledged", "lost", "stale_reads", "divergent")},
            "split_brain": found["two_leaders"] + leased["overlaps"] + leased["stale_accepted"],
            "queries": len(queries),
            "queries_served": sum(1 for op in queries if op.word == "ok" and op.result["word"] == "served"),
            "refused_for_quorum": len(clients.refused(events)),
            "lease_idle_ms_max": leased["idle_ms_max"],
        }
        return told | returned(events, lost)


def returned(events: Sequence[Event], lost: float | None) -> dict[str, Any]:
    """How service came back after a power loss, in ms.

    ready_ms: from when a process has its power back until its readiness says yes. quorum_ms: from when a majority has
    it back until a write that began after the loss is acknowledged. full_ms: from when the last has it back until all
    have caught up.
    """
    if lost is None:
        return {}
    back = {event["who"][0]: event["t"] for event in events if event["kind"] == "power" and event["what"] == "back"}
    ready: dict[str, float] = {}
    member: dict[str, float] = {}
    for event in events:
        name = event.get("process", "")
        if event["t"] < back.get(name, 1e9):
            continue
        if event["kind"] == "readiness" and event["word"].startswith("ready") and name not in ready:
            ready[name] = event["t"]
        if event["kind"] == "sample" and event.get("phase") == "member" and name not in member:
            member[name] = event["t"]
    took = sorted((ready[name] - back[name]) * 1e3 for name in ready)
    majority = sorted(back.values())[len(back) // 2] if back else lost
    first = min((op.end for op in operations(events, "put") if op.word == "ok" and op.begin > lost), default=None)
    return {
        "ready": len(ready),
        "ready_ms_p50": percentile(took, 0.5),
        "ready_ms_max": percentile(took, 1.0),
        "ready_spread_ms": round((max(ready.values()) - min(ready.values())) * 1e3) if ready else None,
        "quorum_ms": None if first is None else round((first - majority) * 1e3, 1),
        "full_ms": round((max(member.values()) - max(back.values())) * 1e3, 1) if len(member) == len(back) else None,
    }


def readiness(address: tuple[str, int]) -> str:
    """What GET /ops/readiness says: the first line of its body."""
    with socket.create_connection(address, 1.0) as sock:
        sock.settimeout(1.0)
        sock.sendall(b"GET /ops/readiness HTTP/1.1\r\nHost: gateway\r\n\r\n")
        got = b""
        while part := sock.recv(4096):
            got += part
    return got.partition(b"\r\n\r\n")[2].decode("utf-8", "replace").strip()
