"""A machine that tries any commands on the registry, in any order, with books of its own on who could still decide."""

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
RARELY = st.integers(0, 5).map(lambda n: n == 5)  # what ends most stories would else end all of them
EDGES = {
    "": {"proposed"},
    "proposed": {"checked", "rejected", "aborted", "withdrawn"},
    "checked": {"proposed", "preparing", "agreed", "rejected", "aborted", "withdrawn"},
    "preparing": {"agreed", "aborted"},
    "agreed": {"preparing", "active", "aborted"},
    "active": {"superseded"},
    "rejected": {"proposed"},  # the federation's alone
}


class Books:
    """What a member's present start may still do, by the commands that were taken and not by the tables."""

    def __init__(self, start: int, mode: r.PartitionMode) -> None:
        self.start, self.mode = start, mode
        self.closed, self.lapse, self.witnesses = 0, 0, set[str]()


class Registry(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.log, self.books = Log(), dict[str, Books]()
        self.texts, self.federated, self.last = dict[int, bytes](), set[int](), 0
        self.phases: dict[int, str] = {}
        self.closing, self.actives = 0, list[int]()

    def do(self, body: r.Body) -> bool:
        """Give a command; one that is refused must change nothing, and phases go along the edges only."""
        before = self.log.state.digest()
        result = self.log.do(body)
        if not result.ok:
            assert self.log.state.digest() == before and result.reason
        now = {found.number: found.phase for found in self.log.state.tables["rules"].values()}
        for number, phase in now.items():
            was = self.phases.get(number, "")
            assert phase == was or phase in EDGES[was], (number, was, phase)
            assert was != "rejected" or phase == was or number in self.federated
        self.phases |= now
        self.result = result
        return result.ok

    @initialize(modes=st.lists(MODES, min_size=3, max_size=4))
    def first_members(self, modes: list[r.PartitionMode]) -> None:
        for name, mode in zip("abcd", modes, strict=False):
            self.begins(name, mode, 1, False)

    @rule(who=st.sampled_from(["lerato", "andries"]), back=st.integers(0, 1), text=st.binary(max_size=3))
    def proposed(self, who: str, back: int, text: bytes) -> None:
        flying = registry.in_flight(self.log.state.tables)
        active = registry.facts(self.log.state.tables).active_number
        if self.do(propose(max(0, active - back), who, text)):
            number = self.result.version
            assert flying is None and number > self.last and (back == 0 or active == 0)
            self.texts[number], self.last = text, number

    @rule(ahead=st.integers(-1, 3), text=st.sampled_from([b"x", b"y"]))
    def proposed_by_the_federation(self, ahead: int, text: bytes) -> None:
        number = self.last + ahead
        parent = registry.facts(self.log.state.tables).active_number
        if number > 0 and self.do(propose(parent, "elsewhere", text, number=number, federated=True)):
            if number <= self.last:
                assert self.texts[number] == text and number in self.federated
            self.texts[number], self.last = text, max(self.last, number)
            self.federated.add(number)

    @rule(name=NAMES, mode=MODES, start=st.integers(1, 9), late=st.booleans())
    def begins(self, name: str, mode: r.PartitionMode, start: int, late: bool) -> None:
        present = self.books[name].start if name in self.books else 0
        if self.do(r.Begin(name, start, mode, replaces=start % 3 if late else present)) and start != present:
            assert not late or start % 3 == present
            self.books[name] = Books(start, mode)
            if mode == "hold":
                self.books[name].closed = self.closing

    @rule(name=NAMES, yes=st.sampled_from([True, True, True, False]), off=st.sampled_from([0, 0, 0, 1]))
    def says(self, name: str, yes: bool, off: int) -> None:
        if name in self.books:
            self.do(r.Verdict(self.last, name, self.books[name].start + off, yes, "so"))

    @rule()
    def all_say_yes(self) -> None:
        for name in list(self.books):
            self.says(name, True, 0)

    @rule()
    def closes(self) -> None:
        if self.do(r.Close(self.last)):
            self.closing = self.last

    @rule(name=NAMES, off=st.sampled_from([0, 0, 0, 1]))
    def closed(self, name: str, off: int) -> None:
        start = self.books[name].start + off if name in self.books else 1
        if self.do(r.Closed(self.last, name, start)):
            assert off == 0 and self.closing == self.last
            self.books[name].closed = self.last

    @rule()
    def all_close(self) -> None:
        for name in list(self.books):
            self.closed(name, 0)

    @rule(name=NAMES)
    def lapses(self, name: str) -> None:
        if name in self.books and self.do(r.ExpirePermit(name, self.books[name].start)):
            assert self.books[name].mode == "hold" and not self.books[name].lapse
            self.books[name].lapse, self.books[name].witnesses = self.result.index, set()

    @rule(name=NAMES, by=NAMES, off=st.sampled_from([0, 0, 0, 1]))
    def witnesses(self, name: str, by: str, off: int) -> None:
        lapse = self.books[name].lapse if name in self.books else 5
        if self.do(r.ConfirmExpiry(name, lapse + off, by)):
            assert off == 0 and by != name and not self.books[by].lapse
            self.books[name].witnesses.add(by)
            if name not in self.log.state.tables["rule_members"]:
                del self.books[name]

    @rule(name=NAMES, off=st.booleans(), really=RARELY)
    def forgets(self, name: str, off: bool, really: bool) -> None:
        if really and self.do(r.Forget(name, off)):
            if name not in self.log.state.tables["rule_members"]:
                assert off or self.books[name].lapse
                del self.books[name]
            elif not self.books[name].lapse:
                self.books[name].lapse = self.result.index

    @rule(decided=st.sampled_from([0, 7]))
    def activates(self, decided: int) -> None:
        """Whoever thinks to lead may ask for it at any moment."""
        if not self.do(r.Activate(self.last, decided)):
            return
        assert decided or self.last not in self.federated
        for name, book in self.books.items():
            if book.closed == self.last:
                continue
            others = len(self.books) - 1
            assert book.lapse and book.witnesses, f"{name} may still decide under the old rules"
            gone = [b for n, b in self.books.items() if n != name and b.lapse and b.witnesses]
            assert len(book.witnesses) >= 2 or others - len(gone) < 2, f"one clock alone ended the lapse of {name}"
        self.actives.append(self.last)
        self.closing = 0

    @rule(decided=st.sampled_from([0, 7]), really=RARELY)
    def aborts(self, decided: int, really: bool) -> None:
        if really and self.do(r.Abort(self.last, "late", decided)):
            assert decided or self.last not in self.federated
            self.closing = 0

    @rule(really=RARELY)
    def withdraws(self, really: bool) -> None:
        if really and self.do(r.Withdraw(self.last, "lerato")):
            assert self.last not in self.federated and self.closing != self.last

    @rule(federated=st.booleans(), text=st.sampled_from([b"x", b"y"]))
    def comes_to_close(self, federated: bool, text: bytes) -> None:
        """The usual way, so that the machine gets far; what is closed for then, and by whom, is left open."""
        if registry.in_flight(self.log.state.tables) is None:
            if federated:
                self.proposed_by_the_federation(1, text)
            else:
                self.proposed("lerato", 0, text)
        self.all_say_yes()
        self.closes()

    @rule(text=st.sampled_from([b"x", b"y"]), again=st.sampled_from([b"x", b"y"]))
    def federation_comes_back(self, text: bytes, again: bytes) -> None:
        self.proposed_by_the_federation(1, text)
        self.says("a", False, 0)
        self.proposed_by_the_federation(0, again)

    @rule(names=st.sets(NAMES, min_size=2), decided=st.sampled_from([0, 7, 7]), back=st.sets(NAMES, max_size=1))
    def goes_on_without_some(self, names: set[str], decided: int, back: set[str]) -> None:
        """Those close, the others lapse and some say that it is over; one is back; somebody tries to activate."""
        for name in sorted(names):
            self.closed(name, 0)
        for name in sorted(set(self.books) - names):
            self.lapses(name)
            self.witnesses(name, min(names), 0)
        for name in back & set(self.books):
            self.begins(name, self.books[name].mode, self.books[name].start + 1, False)
        self.activates(decided)

    @invariant()
    def all_holds(self) -> None:
        tables = self.log.state.tables
        versions: dict[str, r.Version] = tables["rules"]
        found = [version.phase for version in versions.values()]
        assert sum(phase in r.IN_FLIGHT for phase in found) <= 1 and found.count("active") <= 1
        assert len(versions) <= MAX_VERSIONS and set(tables["rule_members"]) == set(self.books)
        for version in versions.values():
            assert version.text == self.texts[version.number] and set(version.verdicts) <= {"a", "b", "c", "d"}
        facts, active = registry.facts(tables), registry.active(tables)
        assert (facts.last_number, facts.active_number) == (self.last, self.actives[-1] if self.actives else 0)
        if active is not None:
            assert active.phase == "active"
            assert not active.parent or versions[str(active.parent)].phase == "superseded"
        for member in tables["rule_members"].values():
            assert len(member.confirmed_by) <= 4

    def teardown(self) -> None:
        twin = State()
        twin.load(self.log.state.applied, self.log.state.dump())
        assert twin.digest() == self.log.state.digest()


TestRegistry = Registry.TestCase
TestRegistry.settings = settings(max_examples=200, stateful_step_count=40, deadline=None, derandomize=True)
