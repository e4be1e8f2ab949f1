"""Service levels: signals, conditions, admission limits, replay, and the governor around the decision module."""

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


class GovernorDriver:
    """A governor with a simulated clock; each call hands it one event."""

    def __init__(self, plan: Plan, settings: api.Settings = SETTINGS) -> None:
        self.logged: list[tuple[str, dict[str, object]]] = []
        self.governor = Governor(
            settings, Gateway(settings, 1), plan, lambda name, fields: self.logged.append((name, fields))
        )
        self.now, self.id = 0.0, 0
        self.handle(listing(entry(7), entry(8)))

    def handle(self, event: api.Event, after: float = 0.0) -> list[api.Action]:
        self.now += after
        return self.governor.handle(self.now, event)

    def send_request(self, cls: int = 0, tenant: int = 0) -> list[api.Action]:
        self.id += 1
        return self.handle(api.Request(self.id, cls, 5.0, tenant=tenant))

    def evaluate(self, seconds: float = 0.25) -> None:
        for _ in range(round(seconds / 0.25)):
            self.handle(api.TimerFired(TIMER_TOKEN), 0.25)

    def overload(self) -> None:
        """Send lookups that stay open past their latency objective, so that the level is entered."""
        for _ in range(30):
            self.send_request()
        self.evaluate(4.0)


def test_a_level_is_entered_enforced_and_left(tmp_path: Path) -> None:
    driver = GovernorDriver(plan(tmp_path))
    driver.overload()
    (change,) = driver.logged
    assert change[0] == "service_level" and change[1]["from"] == "full" and change[1]["to"] == "fewer"
    assert change[1]["condition"] == "class.lookup.late > 50%" and change[1]["figures"] == {"class.lookup.late": "100%"}
    rejected = [a for _ in range(200) for a in driver.send_request(cls=1) if isinstance(a, api.Reject)]
    shed = [a for a in rejected if a.is_load_shedding]
    assert 160 <= len(shed) < 195, "about 90 % are shed, as the floor is 10 %"
    waits = [a.retry_after for a in shed]
    assert min(waits) >= 0.2 and max(waits) <= 0.3 and max(waits) - min(waits) > 0.05, "Retry-After times are spread"
    for id_ in range(1, 31):
        driver.handle(ok(id_, engine_id(driver, id_)))
    driver.evaluate(70.0)
    assert [fields["to"] for _, fields in driver.logged] == ["fewer", "full"]
    driver.evaluate(10.0)
    assert driver.governor.shares["report"] == 1.0 and driver.governor.gateway.service_level is None


def engine_id(driver: GovernorDriver, id_: int) -> int:
    return driver.governor.gateway.requests[id_].attempts[-1].engine.id


def test_level_never_rejects_a_keyed_request_that_was_sent(tmp_path: Path) -> None:
    # a load that may have run must be retried under every level; a lookup, which is safe to repeat, loses its retry
    driver = GovernorDriver(plan(tmp_path))
    (load,) = sends(driver.send_request(cls=2))
    load_id = driver.id
    (lookup,) = sends(driver.send_request(cls=0))
    driver.overload()
    assert driver.governor.state.level == 1
    assert sends(driver.handle(bad(load_id, load.engine, api.AttemptResult.RESET)))
    actions = driver.handle(bad(load_id + 1, lookup.engine, api.AttemptResult.RESET))
    assert not sends(actions) and any(isinstance(a, api.Reject) for a in actions)


def test_plan_with_names_unknown_to_the_settings_is_rejected(tmp_path: Path) -> None:
    for known in ("report", "other", "lookup.late"):
        text = TEXT.replace(known, "x.late" if known == "lookup.late" else "x")
        with pytest.raises(PlanError, match="x"):
            GovernorDriver(plan(tmp_path, text))


def test_plan_without_the_level_in_force_restores_full_service(tmp_path: Path) -> None:
    driver = GovernorDriver(plan(tmp_path))
    driver.overload()
    driver.governor.adopt(plan(tmp_path, TEXT.replace("10%..80%", "0%..80%")), driver.now)
    assert driver.governor.name == "fewer"
    driver.governor.adopt(plan(tmp_path, TEXT.replace("level fewer", "level renamed")), driver.now)
    assert driver.governor.name == "full" and driver.logged[-1][1]["why"] == "configuration"
    with pytest.raises(PlanError):
        driver.governor.adopt(plan(tmp_path, TEXT.replace("admit report", "admit x")), driver.now)
    assert driver.governor.plan.levels[0].timings.name == "renamed"


def test_switching_levels_off_restores_full_service(tmp_path: Path) -> None:
    driver = GovernorDriver(plan(tmp_path))
    driver.overload()
    assert driver.governor.gateway.service_level is not None
    assert driver.governor.end(driver.now).service_level is None


def test_switching_levels_off_logs_the_end_of_the_level_in_force(tmp_path: Path) -> None:
    # fault: a reload without levels ended the level in force, and the log had no event of it
    driver = GovernorDriver(plan(tmp_path))
    driver.overload()
    level = driver.governor.name
    driver.governor.end(driver.now)
    assert driver.logged[-1] == ("service_level", {"from": level, "to": "full", "why": "configuration"})
    at_full_service = GovernorDriver(plan(tmp_path))
    at_full_service.governor.end(at_full_service.now)
    assert not at_full_service.logged


def test_level_ends_when_its_signals_have_no_traffic(tmp_path: Path) -> None:
    # a level that sheds a whole class removes the traffic of its own signals; they must not keep it in force for ever
    driver = GovernorDriver(plan(tmp_path))
    driver.overload()
    for id_ in range(1, 31):
        driver.handle(api.ClientGone(id_))
    driver.evaluate(75.0)
    assert driver.governor.name == "full"


def test_governor_changes_no_action_while_no_level_is_in_force(tmp_path: Path) -> None:
    # guards against a governor that changes the module's actions; until the module itself changed, they also equalled
    # those of commit 712515d, which had no levels
    events, _ = recorded.load()
    digests = []
    for module in (
        Gateway(recorded.settings(), 5),
        Governor(recorded.settings(), Gateway(recorded.settings(), 5), plan(tmp_path, recorded.CALM_PLAN)),
    ):
        digest, count = hashlib.sha256(), 0
        for now, event in events:
            for action in module.handle(now, event):
                if not (isinstance(action, api.SetTimer) and action.token == TIMER_TOKEN):
                    digest.update(wire.encode(0, action))
                    count += 1
        digests.append((count, digest.hexdigest()))
    assert digests[0] == digests[1] and digests[0][0] > len(events) / 3


# Signals


def test_class_signals_count_late_requests_once() -> None:
    signals, fleet = Signals(SETTINGS, 1.0, 0.25), Gateway(SETTINGS, 1)
    for id_ in range(1, 41):
        signals.on_request(0.0, api.Request(id_, 0, 5.0), 1.0)
    for id_ in range(1, 11):
        signals.on_outcome(0.5, ok(id_, 7))
    for id_ in range(11, 16):
        signals.on_rejection(0.5, id_, is_load_shedding=False)
    for id_ in range(16, 21):
        signals.on_rejection(0.5, id_, is_load_shedding=True)
    sample = signals.sample(0.5, fleet)
    assert sample["class.lookup.late"] == 0 and sample["class.lookup.refused"] == 5 / 15
    assert sample["class.lookup.kept"] == 10 / 15 and "class.report.late" not in sample
    sample = signals.sample(1.1, fleet)
    assert sample["class.lookup.late"] == 20 / 30, "open requests past their objective count: none may end in overload"
    for id_ in range(21, 41):
        signals.on_outcome(1.2, ok(id_, 7))
    assert signals.sample(1.3, fleet)["class.lookup.late"] == 20 / 30, "late requests count once"
    for _ in range(8):
        sample = signals.sample(3.0, fleet)
    assert "class.lookup.late" not in sample and not signals._open


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(1, 30), st.integers(0, 1)), max_size=150))
def test_window_counts_are_zero_after_all_requests_have_ended(steps: list[tuple[int, int, int]]) -> None:
    # guards against memory that grows over days and against float sums that drift
    signals, fleet, now = Signals(SETTINGS, 1.0, 0.25), Gateway(SETTINGS, 1), 0.0
    for kind, id_, cls in steps:
        now += 0.05
        if kind == 0:
            signals.on_request(now, api.Request(id_, cls, 5.0, tenant=cls), 0.2)
        elif kind == 1:
            signals.on_outcome(now, ok(id_, 7))
        elif kind == 2:
            signals.on_rejection(now, id_, bool(cls))
        elif kind == 3:
            signals.on_failure(now, id_)
        else:
            sample = signals.sample(now, fleet)
            assert all(0 <= v <= 1 for n, v in sample.items() if n.split(".")[-1] in ("late", "kept", "refused"))
    for id_ in range(1, 31):
        signals.on_failure(now, id_)
    for _ in range(6):
        signals.sample(now, fleet)
    assert not signals._open and not any(map(any, signals._window.counts + signals._window.by_account))
    assert not any(signals._window.offered_weight) and not any(signals._window.served_weight)


def test_signal_beyond_is_the_share_of_requests_beyond_the_quota() -> None:
    signals, fleet = Signals(SETTINGS, 1.0, 0.25), Gateway(SETTINGS, 1)
    for id_ in range(80):
        signals.on_request(0.0, api.Request(id_, 0, 5.0, tenant=id_ % 2), 1.0)
    sample = signals.sample(0.0, fleet)
    assert sample["account.acme.beyond"] == 0 and sample["account.other.beyond"] == 1 - 16 / 40


# Admission limits


@given(
    st.floats(0, 1),
    st.lists(st.tuples(st.integers(0, 100), st.floats(0, 1), st.floats(0, 1)), min_size=1, max_size=5),
)
def test_accounts_together_never_exceed_the_share_of_the_class(
    share: float, accounts: list[tuple[int, float, float]]
) -> None:
    requested, beyond_quota, caps = zip(*accounts, strict=True)
    probabilities = admission.divide_among_accounts(share, requested, beyond_quota, caps)
    assert all(0 <= probability <= cap for probability, cap in zip(probabilities, caps, strict=True))
    assert sum(n * p for n, p in zip(requested, probabilities, strict=True)) <= share * sum(requested) + 1e-6


def test_requests_beyond_a_quota_are_shed_first() -> None:
    within, beyond = admission.divide_among_accounts(0.5, (50, 50), (0.0, 0.8), (1.0, 1.0))
    assert within == pytest.approx(50 / 60) and beyond == pytest.approx(0.2 * 50 / 60)
    assert admission.divide_among_accounts(0.8, (50, 50), (0.0, 0.8), (1.0, 1.0))[0] == 1.0


def test_shares_fall_under_overload_and_rise_at_a_bounded_rate() -> None:
    limits = admission.AdmissionLimits((0.2,), (0.8,), (0,), (1.0,), (0.0, 0.0))
    ramp = admission.RecoveryRamp(0.5, 10.0, 0.1)
    assert admission.shares_on_entry((1.0,), limits) == (0.2,)
    assert admission.adjust_shares((0.8,), limits, ramp, 1.0, True, 0.0) == (0.4,)
    assert admission.adjust_shares((0.3,), limits, ramp, 9.0, True, 0.0) == (0.2,)
    assert admission.adjust_shares((0.2,), limits, ramp, 1.0, False, 0.0) == pytest.approx((0.3,))
    assert admission.adjust_shares((0.2,), limits, ramp, 1.0, False, 0.5) == (0.2,), (
        "no rise while engines are in slow start"
    )
    assert admission.adjust_shares((0.75,), limits, ramp, 5.0, False, 0.0) == (0.8,)
    full = admission.full_service_limits(1, 1)
    assert admission.adjust_shares((0.5,), full, ramp, 1.0, False, 0.0) == (0.6,), (
        "the rise is bounded at full service too"
    )


# Conditions


NAMES = ("fleet.load", "fleet.slow", "own.lag", "class.a.late", "fleet.kept")


@st.composite
def condition_texts(draw: st.DrawFn, depth: int = 2) -> str:
    if depth == 0 or draw(st.booleans()):
        name = draw(st.sampled_from(NAMES))
        kind: SignalKind = conditions.signal_kind(name)
        return f"{name} {draw(st.sampled_from('<>'))} {kind.write(draw(st.integers(0, 4)) / 4)}"
    joined = f" {draw(st.sampled_from(['and', 'or']))} ".join(
        draw(st.lists(condition_texts(depth - 1), min_size=2, max_size=3))
    )
    return f"({joined})"


POINTS = st.fixed_dictionaries({name: st.sampled_from([i / 8 for i in range(11)]) for name in NAMES})


@given(condition_texts(), condition_texts(), POINTS)
def test_overlap_is_found_of_conditions_that_hold_at_once(one: str, other: str, signals: dict[str, float]) -> None:
    left, right = conditions.parse(one), conditions.parse(other)
    if left.first_match(signals):
        assert conditions.is_satisfiable(left)
        if right.first_match(signals):
            assert conditions.overlap(left, right) is not None


def test_errors_of_bad_conditions_name_what_is_allowed() -> None:
    for text in ("", "fleet.load", "fleet.load >", "fleet.load = 2", "fleet.load > 2 and", "x.y > 1"):
        with pytest.raises(ConditionError):
            conditions.parse(text)
    with pytest.raises(ConditionError, match="a share"):
        conditions.parse("class.lookup.late > 2s")
    with pytest.raises(ConditionError, match="alternatives"):
        conditions.parse(" and ".join(["(fleet.load > 1 or fleet.slow > 1)"] * 8))
    assert isinstance(conditions.parse("fleet.load > 1"), Condition)


# Replay


def test_replay_reports_each_change_and_a_summary(tmp_path: Path) -> None:
    trace = [
        b'{"at": %d, "signals": {"class.lookup.late": %s}}' % (at, b"0.9" if 10 <= at < 30 else b"0")
        for at in range(200)
    ]
    *changes, summary = replay.replay(plan(tmp_path), replay.read_trace(trace))
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


def test_recording_contains_every_kind_of_event() -> None:
    events, _ = recorded.load()
    kinds = {type(event) for _, event in events}
    assert kinds >= set(recorded.KINDS.values()) and len(events) > 3000
