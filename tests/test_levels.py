"""Signals, conditions, measures, and the governor before the decision module."""

from __future__ import annotations

import hashlib
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tealwing import interface as api
from tealwing import wire
from tealwing.conf import reader
from tealwing.levels import admission, conditions, replay
from tealwing.levels.conditions import Condition, ConditionError, SignalKind
from tealwing.levels.governor import TIMER_TOKEN, Governor
from tealwing.levels.plan import Plan, PlanError
from tealwing.levels.signals import MIN_REQUESTS, Signals
from tealwing.policy import Gateway
from tests.build import bad, entry, listing, make_settings, ok, request_class, sends
from tests.recorded import recorded

SETTINGS = make_settings(
    classes=(
        request_class(name="lookup"),
        request_class(name="report", priority_weight=7.0),
        request_class(name="load", idempotency=api.Idempotency.KEYED, idempotency_window=25.0),
    ),
    tenants=("acme", "other"),
    tenant_quotas=(api.TenantQuota("acme", 0.8, 8.0), api.TenantQuota("other", 0.2, 2.0)),
)
TEXT = """\
levels
    window 2s
    ramp 10s
    level fewer
        enter when class.lookup.late > 50% for 500ms
        exit when class.lookup.late < 10% for 2s
        stay 1m
        admit report 10%..80%
        account other 50%
        attempts lookup 1
        attempts load 1
        pushback 200ms..300ms
"""


def plan(tmp_path: Path, text: str = TEXT) -> Plan:
    path = tmp_path / "t.conf"
    path.write_text(text)
    found: Plan = reader.read(str(path)).records["levels"]
    return found


class Bench:
    """A governor, driven by hand."""

    def __init__(self, plan: Plan, settings: api.Settings = SETTINGS) -> None:
        self.told: list[tuple[str, dict[str, object]]] = []
        self.governor = Governor(
            settings, Gateway(settings, 1), plan, lambda name, what: self.told.append((name, what))
        )
        self.now, self.id = 0.0, 0
        self.do(listing(entry(7), entry(8)))

    def do(self, event: api.Event, after: float = 0.0) -> list[api.Action]:
        self.now += after
        return self.governor.handle(self.now, event)

    def ask(self, cls: int = 0, tenant: int = 0) -> list[api.Action]:
        self.id += 1
        return self.do(api.Request(self.id, cls, 5.0, tenant=tenant))

    def look(self, seconds: float = 0.25) -> None:
        for _ in range(round(seconds / 0.25)):
            self.do(api.TimerFired(TIMER_TOKEN), 0.25)

    def press(self) -> None:
        """Lookups that stay out past their aim, until the level is entered."""
        for _ in range(30):
            self.ask()
        self.look(4.0)


def test_a_level_is_entered_enforced_and_left(tmp_path: Path) -> None:
    bench = Bench(plan(tmp_path))
    bench.press()
    (change,) = bench.told
    assert change[0] == "service_level" and change[1]["from"] == "full" and change[1]["to"] == "fewer"
    assert change[1]["condition"] == "class.lookup.late > 50%" and change[1]["figures"] == {"class.lookup.late": "100%"}
    refused = [a for _ in range(200) for a in bench.ask(cls=1) if isinstance(a, api.Reject)]
    shed = [a for a in refused if a.is_load_shedding]
    assert 160 <= len(shed) < 195, "the floor is 10 %"
    waits = [a.retry_after for a in shed]
    assert min(waits) >= 0.2 and max(waits) <= 0.3 and max(waits) - min(waits) > 0.05, "spread, not together"
    for id_ in range(1, 31):
        bench.do(ok(id_, sent_to(bench, id_)))
    bench.look(70.0)
    assert [what["to"] for _, what in bench.told] == ["fewer", "full"]
    bench.look(10.0)
    assert bench.governor.shares["report"] == 1.0 and bench.governor.gateway.service_level is None


def sent_to(bench: Bench, id_: int) -> int:
    return bench.governor.gateway.requests[id_].attempts[-1].engine.id


def test_what_was_sent_is_never_rejected_by_a_level(tmp_path: Path) -> None:
    # guards loads: one that may have run must be tried again, whatever level holds; lookups lose their retry
    bench = Bench(plan(tmp_path))
    (load,) = sends(bench.ask(cls=2))
    mine = bench.id
    (look,) = sends(bench.ask(cls=0))
    bench.press()
    assert bench.governor.state.level == 1
    assert sends(bench.do(bad(mine, load.engine, api.AttemptResult.RESET)))
    after = bench.do(bad(mine + 1, look.engine, api.AttemptResult.RESET))
    assert not sends(after) and any(isinstance(a, api.Reject) for a in after)


def test_a_plan_must_fit_the_settings(tmp_path: Path) -> None:
    for known in ("report", "other", "lookup.late"):
        text = TEXT.replace(known, "x.late" if known == "lookup.late" else "x")
        with pytest.raises(PlanError, match="x"):
            Bench(plan(tmp_path, text))


def test_a_new_plan_while_a_level_holds(tmp_path: Path) -> None:
    bench = Bench(plan(tmp_path))
    bench.press()
    bench.governor.adopt(plan(tmp_path, TEXT.replace("10%..80%", "0%..80%")), bench.now)
    assert bench.governor.name == "fewer"
    bench.governor.adopt(plan(tmp_path, TEXT.replace("level fewer", "level renamed")), bench.now)
    assert bench.governor.name == "full" and bench.told[-1][1]["why"] == "configuration"
    with pytest.raises(PlanError):
        bench.governor.adopt(plan(tmp_path, TEXT.replace("admit report", "admit x")), bench.now)
    assert bench.governor.plan.levels[0].timings.name == "renamed"


def test_levels_switched_off_leave_the_module_at_full_service(tmp_path: Path) -> None:
    bench = Bench(plan(tmp_path))
    bench.press()
    assert bench.governor.gateway.service_level is not None
    assert bench.governor.end(bench.now).service_level is None


def test_no_traffic_reads_as_idle(tmp_path: Path) -> None:
    # guards a level that sheds all of a class: its own signals go silent, and must not hold it for ever
    bench = Bench(plan(tmp_path))
    bench.press()
    for id_ in range(1, 31):
        bench.do(api.ClientGone(id_))
    bench.look(75.0)
    assert bench.governor.name == "full"


def test_without_a_level_the_actions_are_those_of_the_module_alone(tmp_path: Path) -> None:
    # and were those of commit 712515d, from before there were levels, until the module itself changed
    events, _ = recorded.load()
    digests = []
    for module in (
        Gateway(recorded.settings(), 5),
        Governor(recorded.settings(), Gateway(recorded.settings(), 5), plan(tmp_path, recorded.CALM_PLAN)),
    ):
        got, count = hashlib.sha256(), 0
        for now, event in events:
            for action in module.handle(now, event):
                if not (isinstance(action, api.SetTimer) and action.token == TIMER_TOKEN):
                    got.update(wire.encode(0, action))
                    count += 1
        digests.append((count, got.hexdigest()))
    assert digests[0] == digests[1] and digests[0][0] > len(events) / 3


# Signals


def test_signals_of_a_class() -> None:
    signals, fleet = Signals(SETTINGS, 1.0, 0.25), Gateway(SETTINGS, 1)
    for id_ in range(1, 41):
        signals.on_request(0.0, api.Request(id_, 0, 5.0), 1.0)
    for id_ in range(1, 11):
        signals.on_outcome(0.5, ok(id_, 7))
    for id_ in range(11, 16):
        signals.on_rejection(0.5, id_, is_load_shedding=False)
    for id_ in range(16, 21):
        signals.on_rejection(0.5, id_, is_load_shedding=True)
    read = signals.sample(0.5, fleet)
    assert read["class.lookup.late"] == 0 and read["class.lookup.refused"] == 5 / 15
    assert read["class.lookup.kept"] == 10 / 15 and "class.report.late" not in read
    read = signals.sample(1.1, fleet)
    assert read["class.lookup.late"] == 20 / 30, "what is open past its aim counts: a jam ends nothing"
    for id_ in range(21, 41):
        signals.on_outcome(1.2, ok(id_, 7))
    assert signals.sample(1.3, fleet)["class.lookup.late"] == 20 / 30, "and once only"
    for _ in range(8):
        read = signals.sample(3.0, fleet)
    assert "class.lookup.late" not in read and not signals._open


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(1, 30), st.integers(0, 1)), max_size=150))
def test_counts_end_at_zero(steps: list[tuple[int, int, int]]) -> None:
    # guards memory over days, and sums that drift: whatever came, nothing is left when all has ended
    signals, fleet, now = Signals(SETTINGS, 1.0, 0.25), Gateway(SETTINGS, 1), 0.0
    for what, id_, cls in steps:
        now += 0.05
        if what == 0:
            signals.on_request(now, api.Request(id_, cls, 5.0, tenant=cls), 0.2)
        elif what == 1:
            signals.on_outcome(now, ok(id_, 7))
        elif what == 2:
            signals.on_rejection(now, id_, bool(cls))
        elif what == 3:
            signals.on_failure(now, id_)
        else:
            read = signals.sample(now, fleet)
            assert all(0 <= v <= 1 for n, v in read.items() if n.split(".")[-1] in ("late", "kept", "refused"))
    for id_ in range(1, 31):
        signals.on_failure(now, id_)
    for _ in range(6):
        signals.sample(now, fleet)
    assert not signals._open and not any(map(any, signals._window.counts + signals._window.by_account))
    assert not any(signals._window.offered_weight) and not any(signals._window.served_weight)


def test_the_share_of_requests_beyond_an_accounts_quota() -> None:
    signals, fleet = Signals(SETTINGS, 1.0, 0.25), Gateway(SETTINGS, 1)
    for id_ in range(80):
        signals.on_request(0.0, api.Request(id_, 0, 5.0, tenant=id_ % 2), 1.0)
    read = signals.sample(0.0, fleet)
    assert read["account.acme.beyond"] == 0 and read["account.other.beyond"] == 1 - 16 / 40


# Measures


@given(
    st.floats(0, 1),
    st.lists(st.tuples(st.integers(0, 100), st.floats(0, 1), st.floats(0, 1)), min_size=1, max_size=5),
)
def test_a_share_is_divided_and_never_exceeded(share: float, accounts: list[tuple[int, float, float]]) -> None:
    asked, beyond, caps = zip(*accounts, strict=True)
    chances = admission.divide_among_accounts(share, asked, beyond, caps)
    assert all(0 <= chance <= cap for chance, cap in zip(chances, caps, strict=True))
    assert sum(n * c for n, c in zip(asked, chances, strict=True)) <= share * sum(asked) + 1e-6


def test_requests_beyond_a_quota_are_shed_first() -> None:
    within, flooding = admission.divide_among_accounts(0.5, (50, 50), (0.0, 0.8), (1.0, 1.0))
    assert within == pytest.approx(50 / 60) and flooding == pytest.approx(0.2 * 50 / 60)
    assert admission.divide_among_accounts(0.8, (50, 50), (0.0, 0.8), (1.0, 1.0))[0] == 1.0


def test_shares_fall_under_overload_and_rise_at_a_bounded_rate() -> None:
    measure = admission.AdmissionLimits((0.2,), (0.8,), (0,), (1.0,), (0.0, 0.0))
    pace = admission.RecoveryRamp(0.5, 10.0, 0.1)
    assert admission.shares_on_entry((1.0,), measure) == (0.2,)
    assert admission.adjust_shares((0.8,), measure, pace, 1.0, True, 0.0) == (0.4,)
    assert admission.adjust_shares((0.3,), measure, pace, 9.0, True, 0.0) == (0.2,)
    assert admission.adjust_shares((0.2,), measure, pace, 1.0, False, 0.0) == pytest.approx((0.3,))
    assert admission.adjust_shares((0.2,), measure, pace, 1.0, False, 0.5) == (0.2,), "waits while the fleet is cold"
    assert admission.adjust_shares((0.75,), measure, pace, 5.0, False, 0.0) == (0.8,)
    full = admission.full_service_limits(1, 1)
    assert admission.adjust_shares((0.5,), full, pace, 1.0, False, 0.0) == (0.6,), "eased past the last level too"


# Conditions


NAMES = ("fleet.load", "fleet.slow", "own.lag", "class.a.late", "fleet.kept")


@st.composite
def texts(draw: st.DrawFn, depth: int = 2) -> str:
    if depth == 0 or draw(st.booleans()):
        name = draw(st.sampled_from(NAMES))
        kind: SignalKind = conditions.signal_kind(name)
        return f"{name} {draw(st.sampled_from('<>'))} {kind.write(draw(st.integers(0, 4)) / 4)}"
    joined = f" {draw(st.sampled_from(['and', 'or']))} ".join(draw(st.lists(texts(depth - 1), min_size=2, max_size=3)))
    return f"({joined})"


POINTS = st.fixed_dictionaries({name: st.sampled_from([i / 8 for i in range(11)]) for name in NAMES})


@given(texts(), texts(), POINTS)
def test_an_overlap_of_conditions_is_found(one: str, other: str, signals: dict[str, float]) -> None:
    left, right = conditions.parse(one), conditions.parse(other)
    if left.first_match(signals):
        assert conditions.is_satisfiable(left)
        if right.first_match(signals):
            assert conditions.overlap(left, right) is not None


def test_errors_of_bad_conditions_say_what_is_allowed() -> None:
    for text in ("", "fleet.load", "fleet.load >", "fleet.load = 2", "fleet.load > 2 and", "x.y > 1"):
        with pytest.raises(ConditionError):
            conditions.parse(text)
    with pytest.raises(ConditionError, match="a share"):
        conditions.parse("class.lookup.late > 2s")
    with pytest.raises(ConditionError, match="alternatives"):
        conditions.parse(" and ".join(["(fleet.load > 1 or fleet.slow > 1)"] * 8))
    assert isinstance(conditions.parse("fleet.load > 1"), Condition)


# Replay


def test_replay(tmp_path: Path) -> None:
    late = [
        b'{"at": %d, "signals": {"class.lookup.late": %s}}' % (at, b"0.9" if 10 <= at < 30 else b"0")
        for at in range(200)
    ]
    *changes, summary = replay.replay(plan(tmp_path), replay.read_trace(late))
    assert [(c["from"], c["to"]) for c in changes] == [("full", "fewer"), ("fewer", "full")]
    assert changes[0]["at"] == 10.5 and summary["changes"] == 2 and summary["changes_per_minute_max"] == 1
    assert sum(summary["time_in"].values()) == pytest.approx(199)


@pytest.mark.parametrize(
    "line",
    [b"{", b"[]", b'{"at": 1}', b'{"at": 1, "signals": {"x": 1}}', b'{"at": "1", "signals": {}}', b"\xff",
     b'{"at": 0, "signals": {}}', b'{"at": 1, "signals": {"fleet.load": null}}'],
)  # fmt: skip
def test_replay_names_the_bad_line(line: bytes) -> None:
    with pytest.raises(replay.TraceError, match="line 2"):
        list(replay.read_trace([b'{"at": 0, "signals": {}}', line]))


def test_a_share_needs_a_minimum_of_requests() -> None:
    signals, fleet = Signals(SETTINGS, 1.0, 0.25), Gateway(SETTINGS, 1)
    for id_ in range(MIN_REQUESTS - 1):
        signals.on_request(0.0, api.Request(id_, 0, 5.0), 0.1)
    assert "class.lookup.late" not in signals.sample(1.0, fleet)


def test_the_recording_is_as_described() -> None:
    events, _ = recorded.load()
    kinds = {type(event) for _, event in events}
    assert kinds >= set(recorded.KINDS.values()) and len(events) > 3000
