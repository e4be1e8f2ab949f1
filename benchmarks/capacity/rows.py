"""Each role's needs at the planned fleet size, derived from the slopes, against the operators' limits; no I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from benchmarks.capacity.fitting import predict
from benchmarks.capacity.records import Measured, Series
from tealwing import config, descriptors
from tealwing.peers import section
from tealwing.peers.plan import LinkTimes
from tealwing.replica.raft import Options

# Planned fleet and limits, given by the operators
GATEWAYS, ENGINES, CLIENTS, STATEMENTS = 1100, 2100, 9000, 1091.0  # clients and statements a second: per gateway
MEMBERS = GATEWAYS + 5  # the gateways and five voters on machines of their own
CONTROL_PERCENT, CONTROL_MB, CONTROL_BYTES = 1.8, 128.0, 4096.0  # limits for control in one gateway
EVERYWHERE_S, PRIMARY_S = 14.0, 9.0  # s until a change must be in force everywhere; s a change of leader may take
SOCKETS, MEMORY_MB = 1024, 192.0  # file descriptors and memory that the platform grants a gateway
CHANGES_A_DAY, RESTARTS_A_DAY, FAILURES_A_DAY, DAY = 5400, 1200, 7, 86_400.0
# Assumptions: no scale test measures these
STATEMENT_S = 0.3  # s that an engine takes for a statement: the mean of the site's classes
RESTART_S, REPLACE_S = 10.0, 300.0  # s until a restarted gateway, or the replacement of a failed machine, serves
ENGINE_CAP = 410 * 8  # connections that the smallest engine accepts, by the site's file

Slopes = Sequence[tuple[str, Measured]]


@dataclass(frozen=True, slots=True)
class Row:
    """One need of a role and its limit, in the same unit; less need is better."""

    role: str
    quantity: str
    need: float
    limit: float
    unit: str
    basis: str  # how the need was determined: measured at N; slope, measured to N; worked out; assumed
    mechanism: str  # the part of the program that meets the need, with its file
    answer: str = ""  # for needs over the limit: mechanisms considered, in the order in which they are needed
    is_refused: bool = False  # whether a need over the limit is refused outright, not merely expensive
    run: str = ""

    @property
    def factor(self) -> float:
        """Limit divided by need: below 1 the need exceeds the limit."""
        return self.limit / self.need if self.need else float("inf")

    def at_size(self) -> str:
        """The need with its unit, as text."""
        return f"{self.need:,.4g} {self.unit}"

    def limit_text(self) -> str:
        """The limit with its unit, as text."""
        return f"{self.limit:,.4g} {self.unit}"

    def margin(self) -> str:
        """The factor as text, marked if the need exceeds the limit."""
        return f"{self.factor:.2f}" + ("" if self.factor >= 1 else " **does not hold**")


def _series(found: Slopes, slope: str, name: str) -> tuple[str, Series]:
    return next(
        (run, one) for run, measured in found if measured.slope == slope for one in measured.series if one.name == name
    )


def value_at(series: Series, size: int, constant_if_bent: bool = False) -> tuple[float, str]:
    """A quantity at a size and its basis: measured there, predicted by the slope, or assumed because the slope is bent.

    constant_if_bent: assume the last value, not linear growth, if the slope is bent; for quantities whose parts don't
    grow with the size.
    """
    for point in series.points:
        if point.size == size:
            return point.value, f"measured at {size:,}"
    last = max(series.points, key=lambda point: point.size)
    if series.fit is not None and not series.fit.bent:
        return predict(series.fit, size), f"slope, measured to {last.size:,}"
    if constant_if_bent:
        return last.value, f"assumed constant from {last.size:,}: the slope is bent, and its links don't grow"
    return last.value * size / last.size, f"assumed linear from {last.size:,}: the slope is bent"


def roles(found: Slopes) -> list[Row]:
    """The rows of all roles."""
    return [*_gateway(found), *_control(found), *_changes(found), *_others(found)]


def ranking(found: Slopes) -> list[Row]:
    """Rows whose need exceeds the limit: those refused outright first, then by ascending factor."""
    return sorted((row for row in roles(found) if row.factor < 1), key=lambda row: (not row.is_refused, row.factor))


def _gateway(found: Slopes) -> list[Row]:
    budget = descriptors.budget(SOCKETS)
    run, series = _series(found, "statement", "processor time")
    statement, basis = value_at(series, ENGINES)
    run_decision, decision_series = _series(found, "decision", "request")
    decision, decision_basis = value_at(decision_series, ENGINES)
    run_clients, clients_series = _series(found, "clients", "memory")
    client, client_basis = value_at(clients_series, CLIENTS)
    threads = max(config.MIN_THREADS, config.MAX_SHARE_MULTIPLE * config.DEPLOYMENT_THREADS // GATEWAYS)
    subset = "a stable subset of the engines for each gateway, some 64; then less work a statement"
    return [
        Row("gateway, statements", "processor time", statement * STATEMENTS / 1e6, 1.0, "cores", basis,
            "one process, threads (`mysql/server.py`)", subset, run=run),
        Row("gateway, statements", "decision alone", decision * STATEMENTS / 1e6, 1.0, "cores", decision_basis,
            "index over all engines (`policy/placement.py`)", subset, run=run_decision),
        Row("gateway, statements", "commands under way", STATEMENTS * STATEMENT_S, threads, "threads",
            f"worked out; {STATEMENT_S} s a statement assumed", "a thread each (`config.py`)",
            "a larger bound once statements cost less: the processor is the limit before it"),
        Row("gateway, clients", "memory at rest", client * CLIENTS / 1e6, MEMORY_MB, "MB", client_basis,
            "one epoll set (`mysql/server.py`)", run=run_clients),
        Row("gateway, clients", "descriptors", float(CLIENTS), float(budget.clients), "descriptors",
            "worked out from the budget", "a budget by holder (`descriptors.py`)",
            f"the platform's limit: {CLIENTS * SOCKETS // budget.clients:,} descriptors a gateway; none of ours",
            is_refused=True),
        Row("gateway, engines", "connections out", float(ENGINES), float(budget.engines), "connections",
            "worked out; idle ones are closed for others", "`resp/quota.py`", subset),
    ]  # fmt: skip


def _control(found: Slopes) -> list[Row]:
    rows = []
    run, series = _series(found, "control", "learner: processor time")
    need, basis = value_at(series, MEMBERS, constant_if_bent=True)
    rows.append(Row("learner", "processor time at rest", need, CONTROL_PERCENT, "% of a core", basis,
                    "idle ticks (`rollout/runtime.py`), links to the voters alone", run=run))  # fmt: skip
    heartbeats = MEMBERS / LinkTimes().scaled_for(MEMBERS).heartbeat
    rounds = MEMBERS / Options().learner_heartbeat_interval
    for role, messages in (("voter", heartbeats), ("leader", heartbeats + rounds)):
        need, last = _by_message(found, role, messages)
        basis = f"worked out: {messages:,.0f} messages a second at what one cost at {last:,} members"
        rows.append(Row(role, "processor time at rest", need, 100.0, "% of a core", basis,
                        "paced heartbeats (`peers/plan.py`)", "relays in front of the voters", run=run))  # fmt: skip
    run, series = _series(found, "control", "learner: bytes sent")
    sent, basis = value_at(series, MEMBERS)
    _, received_series = _series(found, "control", "learner: bytes received")
    received, _ = value_at(received_series, MEMBERS)
    rows.append(Row("learner", "bytes at rest, both ways", sent + received, CONTROL_BYTES, "B/s", basis,
                    "links to the voters alone (`peers/plan.py`)", run=run))  # fmt: skip
    run_change, change = _series(found, "change", "leader: bytes sent")
    to_all, change_basis = value_at(change, MEMBERS)
    own, _ = value_at(_series(found, "change", "learner: bytes sent")[1], MEMBERS)
    changing = sent + received + (to_all / MEMBERS + own) * CHANGES_A_DAY / DAY
    rows.append(Row("learner", "bytes with a change in 16 s", changing, CONTROL_BYTES, "B/s", change_basis,
                    "each member hears what each has said (`replica/forwarding/batching.py`)",
                    "acknowledgements that are summed on their way to the voters: relays", run=run_change))  # fmt: skip
    run, series = _series(found, "control", "leader: memory")
    memory, basis = value_at(series, MEMBERS)
    rows.append(
        Row("leader", "memory", memory / 1024, CONTROL_MB, "MB", basis, "a thread and an outbox a member", run=run)
    )
    return rows


def _by_message(found: Slopes, role: str, messages: float) -> tuple[float, int]:
    """Processor time (% of a core) of a role at `messages` sent a second, and the size it is scaled from."""
    spent = max(_series(found, "control", f"{role}: processor time")[1].points, key=lambda point: point.size)
    sent = max(_series(found, "control", f"{role}: messages sent")[1].points, key=lambda point: point.size)
    return spent.value / sent.value * messages, spent.size


def _changes(found: Slopes) -> list[Row]:
    rows = []
    for mode in ("serve", "hold"):
        run, series = _series(found, f"virtual-{mode}", "open everywhere")
        need, basis = value_at(series, GATEWAYS)
        rows.append(Row("change of rules", f"`{mode}`: in force everywhere, longest", need, EVERYWHERE_S, "s",
                        basis + ", virtual time",
                        "paced rounds and repeats (`replica/raft/replication.py`, `rollout/agent/retry.py`)",
                        "relays", run=run))  # fmt: skip
    rows.append(
        Row(
            "change of rules",
            "members",
            float(MEMBERS),
            float(section.MAX_MEMBERS),
            "members",
            "the section's bound",
            "`peers/section.py`, `rules/transitions/membership.py`",
            "raise the bounds and pace what grows; then relays",
            is_refused=True,
        )
    )
    restart_share = RESTARTS_A_DAY * RESTART_S / DAY
    failure_share = FAILURES_A_DAY * REPLACE_S / DAY
    rows.append(
        Row("change of rules", "`serve`: share of changes that meet an absent member", restart_share + failure_share,
            0.01, "of changes", f"worked out; {RESTART_S:g} s a restart and {REPLACE_S:g} s a replacement assumed",
            "aborted at the section's limit (`rollout/leader/coordinator.py`)",
            "`hold` on the learners; a change that waits for who is away, or leaves it out once its permit is over")
    )  # fmt: skip
    return rows


def _others(found: Slopes) -> list[Row]:
    rows = [
        Row("engine", "connections into it", float(GATEWAYS), float(ENGINE_CAP), "connections",
            "worked out: one of each gateway; the site's smallest cap", "shared connections (`resp/engine.py`)"),
    ]  # fmt: skip
    for mode in ("serve", "hold"):
        run, series = _series(found, f"day-{mode}", "in force everywhere, longest")
        size = series.points[0].size
        basis = f"measured at {size:,} only, restarts at ten times the rate of all"
        rows.append(Row("change of rules", f"`{mode}`: in force everywhere while members restart, longest",
                        series.points[0].value, EVERYWHERE_S, "s", basis, "`rollout/`, `rules/`", run=run))  # fmt: skip
        run, series = _series(found, f"day-{mode}", "leader lost, until a proposal is taken")
        basis = f"measured at {size:,} only, once"
        rows.append(Row("leader of the log", f"`{mode}`: lost, until a proposal is taken", series.points[0].value,
                        PRIMARY_S, "s", basis, "election (`replica/raft/election.py`)", run=run))  # fmt: skip
    return rows
