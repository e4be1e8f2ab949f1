"""Stateful test of the registry: any commands in any order, checked against a model of who may still decide."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tealwing.replica.state import State
from tealwing.rules import records as r
from tealwing.rules import registry
from tealwing.rules.registry_state import MAX_VERSIONS
from tests.test_rules_registry import Log, propose

NAMES = st.sampled_from(["a", "b", "c", "d"])
MODES = st.sampled_from(["serve", "hold"])
RARELY = st.integers(0, 5).map(lambda n: n == 5)  # for rules that would otherwise end almost every version early
TRANSITIONS = {  # the phases that may follow a phase
    "": {"proposed"},
    "proposed": {"checked", "rejected", "aborted", "withdrawn"},
    "checked": {"proposed", "preparing", "agreed", "rejected", "aborted", "withdrawn"},
    "preparing": {"agreed", "aborted"},
    "agreed": {"preparing", "active", "aborted"},
    "active": {"superseded"},
    "rejected": {"proposed"},  # only of a federated version
}


class MemberModel:
    """The expected state of a member's current start, derived from the accepted commands and not from the tables."""

    def __init__(self, start: int, mode: r.PartitionMode) -> None:
        self.start, self.mode = start, mode
        self.closed_for, self.expiry_index, self.confirmed_by = 0, 0, set[str]()


class Registry(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.log, self.members = Log(), dict[str, MemberModel]()
        self.texts, self.federated, self.last = dict[int, bytes](), set[int](), 0
        self.phases: dict[int, str] = {}
        self.closing_for, self.activated = 0, list[int]()

    def submit(self, body: r.Body) -> bool:
        """Apply a command; a rejected one must change nothing, and phases must follow TRANSITIONS."""
        digest = self.log.state.digest()
        result = self.log.apply(body)
        if not result.ok:
            assert self.log.state.digest() == digest and result.reason
        phases = {found.number: found.phase for found in self.log.state.tables["rules"].values()}
        for number, phase in phases.items():
            before = self.phases.get(number, "")
            assert phase == before or phase in TRANSITIONS[before], (number, before, phase)
            assert before != "rejected" or phase == before or number in self.federated
        self.phases |= phases
        self.result = result
        return result.ok

    @initialize(modes=st.lists(MODES, min_size=3, max_size=4))
    def first_members(self, modes: list[r.PartitionMode]) -> None:
        for name, mode in zip("abcd", modes, strict=False):
            self.begin(name, mode, 1, False)

    @rule(who=st.sampled_from(["lerato", "andries"]), back=st.integers(0, 1), text=st.binary(max_size=3))
    def propose_local(self, who: str, back: int, text: bytes) -> None:
        in_flight = registry.in_flight(self.log.state.tables)
        active = registry.facts(self.log.state.tables).active_number
        if self.submit(propose(max(0, active - back), who, text)):
            number = self.result.version
            assert in_flight is None and number > self.last and (back == 0 or active == 0)
            self.texts[number], self.last = text, number

    @rule(ahead=st.integers(-1, 3), text=st.sampled_from([b"x", b"y"]))
    def propose_federated(self, ahead: int, text: bytes) -> None:
        number = self.last + ahead
        parent = registry.facts(self.log.state.tables).active_number
        if number > 0 and self.submit(propose(parent, "elsewhere", text, number=number, federated=True)):
            if number <= self.last:
                assert self.texts[number] == text and number in self.federated
            self.texts[number], self.last = text, max(self.last, number)
            self.federated.add(number)

    @rule(name=NAMES, mode=MODES, start=st.integers(1, 9), late=st.booleans())
    def begin(self, name: str, mode: r.PartitionMode, start: int, late: bool) -> None:
        present = self.members[name].start if name in self.members else 0
        if self.submit(r.Begin(name, start, mode, replaces=start % 3 if late else present)) and start != present:
            assert not late or start % 3 == present
            self.members[name] = MemberModel(start, mode)
            if mode == "hold":
                self.members[name].closed_for = self.closing_for

    @rule(name=NAMES, accepted=st.sampled_from([True, True, True, False]), offset=st.sampled_from([0, 0, 0, 1]))
    def report_verdict(self, name: str, accepted: bool, offset: int) -> None:
        if name in self.members:
            self.submit(r.Verdict(self.last, name, self.members[name].start + offset, accepted, "reason"))

    @rule()
    def accept_by_all(self) -> None:
        for name in list(self.members):
            self.report_verdict(name, True, 0)

    @rule()
    def close(self) -> None:
        if self.submit(r.Close(self.last)):
            self.closing_for = self.last

    @rule(name=NAMES, offset=st.sampled_from([0, 0, 0, 1]))
    def report_closed(self, name: str, offset: int) -> None:
        start = self.members[name].start + offset if name in self.members else 1
        if self.submit(r.Closed(self.last, name, start)):
            assert offset == 0 and self.closing_for == self.last
            self.members[name].closed_for = self.last

    @rule()
    def report_closed_by_all(self) -> None:
        for name in list(self.members):
            self.report_closed(name, 0)

    @rule(name=NAMES)
    def expire_permit(self, name: str) -> None:
        if name in self.members and self.submit(r.ExpirePermit(name, self.members[name].start)):
            assert self.members[name].mode == "hold" and not self.members[name].expiry_index
            self.members[name].expiry_index, self.members[name].confirmed_by = self.result.index, set()

    @rule(name=NAMES, by=NAMES, offset=st.sampled_from([0, 0, 0, 1]))
    def confirm_expiry(self, name: str, by: str, offset: int) -> None:
        expiry_index = self.members[name].expiry_index if name in self.members else 5
        if self.submit(r.ConfirmExpiry(name, expiry_index + offset, by)):
            assert offset == 0 and by != name and not self.members[by].expiry_index
            self.members[name].confirmed_by.add(by)
            if name not in self.log.state.tables["rule_members"]:
                del self.members[name]

    @rule(name=NAMES, switched_off=st.booleans(), run=RARELY)
    def forget(self, name: str, switched_off: bool, run: bool) -> None:
        if run and self.submit(r.Forget(name, switched_off)):
            if name not in self.log.state.tables["rule_members"]:
                assert switched_off or self.members[name].expiry_index
                del self.members[name]
            elif not self.members[name].expiry_index:
                self.members[name].expiry_index = self.result.index

    @rule(federation_index=st.sampled_from([0, 7]))
    def activate(self, federation_index: int) -> None:
        """Propose the activation at any moment, as a former leader may."""
        if not self.submit(r.Activate(self.last, federation_index)):
            return
        assert federation_index or self.last not in self.federated
        for name, member in self.members.items():
            if member.closed_for == self.last:
                continue
            others = len(self.members) - 1
            assert member.expiry_index and member.confirmed_by, f"{name} may still decide under the old rules"
            expired = [m for n, m in self.members.items() if n != name and m.expiry_index and m.confirmed_by]
            assert len(member.confirmed_by) >= 2 or others - len(expired) < 2, (
                f"one clock confirmed the expiry of {name}"
            )
        self.activated.append(self.last)
        self.closing_for = 0

    @rule(federation_index=st.sampled_from([0, 7]), run=RARELY)
    def abort(self, federation_index: int, run: bool) -> None:
        if run and self.submit(r.Abort(self.last, "late", federation_index)):
            assert federation_index or self.last not in self.federated
            self.closing_for = 0

    @rule(run=RARELY)
    def withdraw(self, run: bool) -> None:
        if run and self.submit(r.Withdraw(self.last, "lerato")):
            assert self.last not in self.federated and self.closing_for != self.last

    @rule(federated=st.booleans(), text=st.sampled_from([b"x", b"y"]))
    def reach_close_phase(self, federated: bool, text: bytes) -> None:
        """Bring a version to its close phase in the usual way, so that the test reaches the later phases often."""
        if registry.in_flight(self.log.state.tables) is None:
            if federated:
                self.propose_federated(1, text)
            else:
                self.propose_local("lerato", 0, text)
        self.accept_by_all()
        self.close()

    @rule(text=st.sampled_from([b"x", b"y"]), repeated=st.sampled_from([b"x", b"y"]))
    def repeat_rejected_federated_version(self, text: bytes, repeated: bytes) -> None:
        self.propose_federated(1, text)
        self.report_verdict("a", False, 0)
        self.propose_federated(0, repeated)

    @rule(
        names=st.sets(NAMES, min_size=2),
        federation_index=st.sampled_from([0, 7, 7]),
        restarted=st.sets(NAMES, max_size=1),
    )
    def complete_without_some(self, names: set[str], federation_index: int, restarted: set[str]) -> None:
        """Some members close, the permits of the others expire, one member may restart; then propose the activation."""
        for name in sorted(names):
            self.report_closed(name, 0)
        for name in sorted(set(self.members) - names):
            self.expire_permit(name)
            self.confirm_expiry(name, min(names), 0)
        for name in restarted & set(self.members):
            self.begin(name, self.members[name].mode, self.members[name].start + 1, False)
        self.activate(federation_index)

    @invariant()
    def state_matches_model(self) -> None:
        tables = self.log.state.tables
        versions: dict[str, r.Version] = tables["rules"]
        found = [version.phase for version in versions.values()]
        assert sum(phase in r.IN_FLIGHT for phase in found) <= 1 and found.count("active") <= 1
        assert len(versions) <= MAX_VERSIONS and set(tables["rule_members"]) == set(self.members)
        for version in versions.values():
            assert version.text == self.texts[version.number] and set(version.verdicts) <= {"a", "b", "c", "d"}
        facts, active = registry.facts(tables), registry.active(tables)
        assert (facts.last_number, facts.active_number) == (self.last, self.activated[-1] if self.activated else 0)
        if active is not None:
            assert active.phase == "active"
            assert not active.parent or versions[str(active.parent)].phase == "superseded"
        for member in tables["rule_members"].values():
            assert len(member.confirmed_by) <= 4

    def teardown(self) -> None:
        loaded = State()
        loaded.load(self.log.state.applied, self.log.state.dump())
        assert loaded.digest() == self.log.state.digest()


TestRegistry = Registry.TestCase
TestRegistry.settings = settings(max_examples=200, stateful_step_count=40, deadline=None, derandomize=True)
