"""Raft, the core: no I/O, no clock but the one passed in, the same for the same seed and events.

After Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), with Ongaro's dissertation for
pre-vote, check-quorum, read-index and membership changes of one member at a time. Like etcd's raft package the core
keeps state and makes messages, and a shell moves messages and writes the disk: it calls `step`, `tick`, `propose` or
`read`, then takes `ready()`, writes what that says to disk, calls `saved`, and only then sends the messages and applies
what is committed.

Disks that come back older (ours). A member whose disk lost its last writes has forgotten votes that it gave and
entries that it acknowledged, and does not know it. With `stale` = s, at most s members at a time may be in that state.
Each start is *unsure* until the leader says `Sure`, and every quorum of which u members are unsure needs min(s, u)
members more than a majority. Two such quorums share a member that has forgotten nothing, so what Raft rests on holds.
The leader says `Sure` once the member has what was committed when the leader knew that it still led, as of after the
member's start: its vote in that start shows that, or a round that a quorum without it has answered since.
docs/replication.md has the argument, and benchmarks/consensus.py the model check.
"""

from __future__ import annotations

import copy
import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from tealwing import log
from tealwing.replica.messages import (
    Append,
    AppendReply,
    Entry,
    Hand,
    Kind,
    Message,
    Snap,
    SnapReply,
    Sure,
    VoteAsk,
    VoteReply,
    members_data,
    members_of,
)


class Role(Enum):
    """What a member is for now."""

    FOLLOWER = "follower"
    PRECANDIDATE = "precandidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Mode(Enum):
    """How the leader sends to a follower."""

    PROBE = "probe"  # one message at a time, until it is known where the logs agree
    REPLICATE = "replicate"  # several under way
    SNAPSHOT = "snapshot"  # it needs what the log has no more


@dataclass(frozen=True, slots=True)
class Options:
    """Seconds, bytes and counts; the same at all members but for mutations of the model check."""

    beat: float = 0.1  # s between two rounds of a leader that has nothing else to say
    election: float = 0.6  # s without a leader after which a member asks for votes, at least; up to twice that
    resend: float = 0.5  # s without an answer after which what is under way to a follower counts as lost
    batch: int = 64 * 1024  # bytes of entries in one message, but one entry at least
    entries: int = 256  # of one message
    inflight: int = 8  # messages under way to one follower
    uncommitted: int = 4096  # entries beyond which a leader takes no more for now
    sending: int = 2  # snapshots under way at once, lest a fleet that returns takes them all together
    stale: int = 0  # members that may at once have come back with an older disk
    pre_vote: bool = True
    check_quorum: bool = True


class NotLeader(RuntimeError):
    """Only the leader can do that; `leader` is who that may be, empty if unknown."""

    def __init__(self, leader: str) -> None:
        super().__init__(f"not the leader; {leader or 'nobody'} may be")
        self.leader = leader


class Busy(RuntimeError):
    """Not now: too much is under way, or another change of members is."""


@dataclass(frozen=True, slots=True)
class Meta:
    """A snapshot: the state up to an index, its term, the members then, its size in bytes."""

    index: int = 0
    term: int = 0
    members: tuple[str, ...] = ()
    size: int = 0


@dataclass(slots=True)
class Progress:
    """What the leader knows of one follower."""

    next: int
    match: int = 0
    mode: Mode = Mode.PROBE
    inflight: deque[int] = field(default_factory=deque)  # last index of each message under way
    sent: float = 0.0  # when the oldest that is unanswered was sent; 0: none is
    heard: float = 0.0
    round: int = 0  # highest that it answered
    start: int = 0  # of its process, as it said last
    unsure: bool = False
    known_round: int = 0  # our round when we heard of that start first
    offset: int = 0  # of the snapshot that it has

    def clone(self) -> Progress:
        """One like this."""
        return Progress(
            self.next, self.match, self.mode, deque(self.inflight), self.sent, self.heard, self.round, self.start,
            self.unsure, self.known_round, self.offset,
        )  # fmt: skip


@dataclass(slots=True)
class Ready:
    """What the shell has to do, in this order: write, say `saved`, send, apply, answer reads."""

    hard: tuple[int, str] | None  # term and vote, to be on disk before anything is sent
    entries: list[Entry]  # to be on disk; the first takes the place of all from its index on
    chunk: Snap | None  # a piece of a snapshot, to be on disk; the last one of it then is to be installed
    messages: list[tuple[str, Message]]
    committed: list[Entry]
    reads: list[tuple[int, int]]  # number and index: once the state is at the index, the read may be answered
    failed_reads: list[int]


class Raft:
    """One member."""

    def __init__(
        self,
        me: str,
        members: tuple[str, ...],
        now: float,
        seed: int = 0,
        start: int = 1,
        options: Options = Options(),  # noqa: B008 - frozen
        term: int = 0,
        vote: str = "",
        snapshot: Meta = Meta(),  # noqa: B008 - frozen
        log: Iterable[Entry] = (),
        incoming: tuple[int, int, int] = (0, 0, 0),
        commit: int = 0,
    ) -> None:
        """From what the disk has. start is a number that no earlier start of this member had.

        members holds where neither snapshot nor log says who they are; none: this one joins a fleet that has it added.
        incoming is index, term and size so far of a snapshot that was being received.
        """
        self.me, self.options, self.start = me, options, start
        self._random = random.Random(seed)
        self.term, self.vote = term, vote
        self.snapshot = snapshot
        self.base = (snapshot.index, snapshot.term)  # of what comes before the log: the snapshot's, or older
        self.first_members = members
        self.log = list(log)  # after the base
        self.members = self._members_now()
        self.applied = snapshot.index
        self.commit = max(snapshot.index, min(commit, self.last_index))
        self.unsure = options.stale > 0 and len(self.members) > 1
        self.role, self.leader = Role.FOLLOWER, ""
        self.heard = now - 2 * options.election  # when a leader was heard
        self.deadline = 0.0
        self.votes: dict[str, tuple[bool, int, bool]] = {}  # granted, start and unsure, by who answered
        self.granted: dict[str, int] = {}  # the starts that voted for us as we became leader
        self.progress: dict[str, Progress] = {}
        self.round = 0
        self.beaten = 0.0  # when the last round began
        self.settled = 0  # index of our first entry as leader
        self.stable = self.last_index  # written to disk up to here
        self._hard = False  # term or vote is not on disk
        self._out: list[tuple[str, Message]] = []
        self._chunk: Snap | None = None
        self._incoming = incoming
        self._reads: list[tuple[int, int]] = []  # number, round that must be answered; round 0: not begun
        self._done_reads: list[tuple[int, int]] = []
        self._failed_reads: list[int] = []
        self._reset_deadline(now)

    # The log

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base[0] + len(self.log)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.log[-1].term if self.log else self.base[1]

    def term_at(self, index: int) -> int | None:
        """Term of the entry at an index; None where the log has none there."""
        if index == self.base[0]:
            return self.base[1]
        place = index - self.base[0] - 1
        return self.log[place].term if 0 <= place < len(self.log) else None

    def entries(self, first: int, last: int) -> list[Entry]:
        """The entries from first to last, as far as the log has them."""
        begin = self.base[0] + 1
        return self.log[max(first - begin, 0) : max(last - begin + 1, 0)]

    def _members_now(self) -> tuple[str, ...]:
        for entry in reversed(self.log):
            if entry.kind is Kind.MEMBERS:
                return members_of(entry)
        return self.snapshot.members or self.first_members

    # Quorums

    def enough(self, names: Iterable[str]) -> bool:
        """Whether these are a quorum: more than half, and as many more as may have forgotten (see the module)."""
        there = {name for name in names if name in self.members}
        spare = min(self.options.stale, (len(self.members) - 1) // 2)
        doubtful = sum(1 for name in there if self._is_unsure(name))
        return len(there) >= len(self.members) // 2 + 1 + min(spare, doubtful)

    def _is_unsure(self, name: str) -> bool:
        if name == self.me:
            return self.unsure
        if self.role is Role.LEADER:
            known = self.progress.get(name)
            return known is not None and known.unsure
        return name in self.votes and self.votes[name][2]

    # Events

    def tick(self, now: float) -> None:
        """Time has passed."""
        if self.role is Role.LEADER:
            self._lead(now)
        elif now >= self.deadline:
            self.campaign(now)

    def next_deadline(self) -> float:
        """When a tick has something to do."""
        return self.beaten + self.options.beat if self.role is Role.LEADER else self.deadline

    def campaign(self, now: float) -> None:
        """Ask for votes: first whether they would be given, where pre-votes are on."""
        self._reset_deadline(now)
        if self.me not in self.members:
            return
        self.leader = ""
        if self.options.pre_vote:
            self.role, self.votes = Role.PRECANDIDATE, {self.me: (True, self.start, self.unsure)}
            self._ask_votes(now, self.term + 1, True)
        else:
            self._stand(now)

    def hand_over(self, now: float) -> str:
        """Have the follower that is furthest stand at once, as we are about to go; who that is, empty if nobody can.

        Nothing is given away by it: it is elected by votes like anyone, or not, and then an election time passes.
        """
        if self.role is not Role.LEADER:
            return ""
        ready = [
            (progress.match, name) for name, progress in self.progress.items()
            if name in self.members and not progress.unsure and now - progress.heard < self.options.election
        ]  # fmt: skip
        if not ready or max(ready)[0] < self.commit:
            return ""
        name = max(ready)[1]
        self._send(name, Hand(self.term))
        return name

    def _stand(self, now: float, handed: bool = False) -> None:
        self.term, self.vote, self._hard, self.leader = self.term + 1, self.me, True, ""
        self.role, self.votes = Role.CANDIDATE, {self.me: (True, self.start, self.unsure)}
        self._reset_deadline(now)
        self._ask_votes(now, self.term, False, handed)

    def _ask_votes(self, now: float, term: int, pre: bool, handed: bool = False) -> None:
        for name in self.members:
            if name != self.me:
                self._send(name, VoteAsk(term, self.last_index, self.last_term, pre, handed))
        self._count_votes(now)  # alone, we have them all

    def _count_votes(self, now: float) -> None:
        if not self.enough(name for name, (granted, _, _) in self.votes.items() if granted):
            return
        if self.role is Role.PRECANDIDATE:
            self._stand(now)
        elif self.role is Role.CANDIDATE:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self.granted = {name: start for name, (granted, start, _) in self.votes.items() if granted}
        votes = self.votes
        self.role, self.leader = Role.LEADER, self.me
        self.progress = {
            name: Progress(self.last_index + 1, heard=now) for name in self.members if name != self.me
        }
        for name, (_, start, unsure) in votes.items():
            if name in self.progress:
                self.progress[name].start, self.progress[name].unsure = start, unsure
        self._append(Kind.NOOP, b"")
        self.settled = self.last_index
        self._begin_round(now)

    def step(self, now: float, source: str, message: Message) -> None:
        """A message has come."""
        if isinstance(message, VoteAsk):
            self._vote(now, source, message)
            return
        if message.term > self.term and not (isinstance(message, VoteReply) and message.pre):
            self._follow(now, message.term, "")
        if isinstance(message, VoteReply):
            self._hear_vote(now, source, message)
        elif isinstance(message, Append):
            self._hear_append(now, source, message)
        elif isinstance(message, Snap):
            self._hear_snap(now, source, message)
        elif isinstance(message, Hand):
            if message.term == self.term and source == self.leader and self.me in self.members:
                self._stand(now, handed=True)
        elif isinstance(message, Sure):
            if message.term == self.term and message.start == self.start:
                self.unsure = False
        elif self.role is Role.LEADER and message.term == self.term:
            progress = self.progress.get(source)
            if progress is not None:
                self._hear_start(progress, now, message.start, message.unsure)
                if isinstance(message, AppendReply):
                    self._hear_reply(now, source, progress, message)
                else:
                    self._hear_snap_reply(now, source, progress, message)
                self._settle(source, progress)

    def propose(self, now: float, data: bytes) -> tuple[int, int]:
        """A command for the state; its index and term, where it will be if it is committed. NotLeader or Busy."""
        if self.role is not Role.LEADER:
            raise NotLeader(self.leader)
        if self.last_index - self.commit >= self.options.uncommitted:
            raise Busy(f"{self.options.uncommitted} entries wait to be committed")
        entry = self._append(Kind.DATA, data)
        self._replicate(now)
        return entry.index, entry.term

    def change_members(self, now: float, members: tuple[str, ...]) -> tuple[int, int]:
        """Other members, one more or one fewer. NotLeader, Busy, or ValueError."""
        if self.role is not Role.LEADER:
            raise NotLeader(self.leader)
        if len(set(members) ^ set(self.members)) != 1 or not members:
            raise ValueError("one member more or one fewer at a time, and one at least")
        pending = any(entry.kind is Kind.MEMBERS for entry in self.entries(self.commit + 1, self.last_index))
        if pending or self.commit < self.settled:  # else two changes may each find a majority of their own
            raise Busy("another change of members, or the leader's first entry, is not committed yet")
        entry = self._append(Kind.MEMBERS, members_data(members))
        for name in self.members:
            if name != self.me and name not in self.progress:
                self.progress[name] = Progress(self.last_index, heard=now)
        for name in [name for name in self.progress if name not in self.members]:
            del self.progress[name]
        self._begin_round(now)
        return entry.index, entry.term

    def read(self, now: float, number: int) -> None:
        """A read that must see all that was committed before it: read-index. NotLeader."""
        if self.role is not Role.LEADER:
            raise NotLeader(self.leader)
        if self.commit < self.settled:  # what is committed is not known before our first entry is
            self._reads.append((number, 0))
            return
        self._begin_round(now)
        self._reads.append((number, self.round))
        self._answer_reads()

    # What the shell takes and gives

    def ready(self) -> Ready:
        """What there is to do now; what it says is not said again."""
        hard = (self.term, self.vote) if self._hard else None
        entries = self.entries(self.stable + 1, self.last_index)
        out, self._out = self._out, []
        chunk, self._chunk = self._chunk, None
        committed = self.entries(self.applied + 1, min(self.commit, self.stable))
        if committed:
            self.applied = committed[-1].index
        reads, self._done_reads = self._done_reads, []
        failed, self._failed_reads = self._failed_reads, []
        self._hard = False
        return Ready(hard, entries, chunk, out, committed, reads, failed)

    def has_ready(self) -> bool:
        """Whether `ready` has something."""
        return bool(
            self._hard or self._out or self._chunk or self._done_reads or self._failed_reads
            or self.stable < self.last_index or self.applied < min(self.commit, self.stable)
        )  # fmt: skip

    def saved(self, now: float, index: int, term: int) -> None:
        """The log is on disk up to an index, whose entry then had that term."""
        if self.term_at(index) == term and index > self.stable:  # else it was cut meanwhile
            self.stable = index
            if self.role is Role.LEADER:
                self._advance_commit(now)

    def installed(self, meta: Meta) -> None:
        """The received snapshot is the state now."""
        self._incoming = (0, 0, 0)
        self._take_snapshot(meta)
        self.commit, self.applied = max(self.commit, meta.index), max(self.applied, meta.index)
        self.stable = meta.index  # what is kept after it is written again, behind the word of the snapshot
        self.members = self._members_now()

    def not_installed(self) -> None:
        """The received snapshot was no good: it has to come anew."""
        self._incoming = (0, 0, 0)

    def compacted(self, meta: Meta, trail: int = 0) -> None:
        """A snapshot of our own state is on disk: the log up to it can go, but for so many entries.

        Who is a little behind takes those, and not the whole state.
        """
        if meta.index <= self.snapshot.index:
            return
        self.snapshot = meta
        keep = max(self.base[0], meta.index - trail)
        term = self.term_at(keep)
        if term is not None:
            self.log, self.base = self.entries(keep + 1, self.last_index), (keep, term)

    def _take_snapshot(self, meta: Meta) -> None:
        """A snapshot of another takes the place of the log, but for what comes after it and agrees."""
        kept = self.entries(meta.index + 1, self.last_index) if self.term_at(meta.index) == meta.term else []
        self.snapshot, self.base, self.log = meta, (meta.index, meta.term), kept

    # A follower

    def _follow(self, now: float, term: int, leader: str) -> None:
        if term > self.term:
            self.term, self.vote, self._hard = term, "", True
        if self.role is Role.LEADER:
            self._failed_reads += [number for number, _ in self._reads]
            self._reads.clear()
            self.progress.clear()
            self._reset_deadline(now)
        # others keep theirs: whoever asks for votes that nobody gives must not keep the rest from asking
        self.role, self.leader = Role.FOLLOWER, leader
        self.votes = {}

    def _vote(self, now: float, source: str, ask: VoteAsk) -> None:
        led = self.role is Role.LEADER or (self.leader and now - self.heard < self.options.election)
        if self.options.check_quorum and led and self.leader != source and not ask.handed:
            return  # our leader is well: who was cut off and comes back must not unseat it
        newer = (ask.last_term, ask.last_index) >= (self.last_term, self.last_index)
        if ask.pre:
            granted = ask.term > self.term and newer
        else:
            if ask.term > self.term:
                self._follow(now, ask.term, "")
            granted = ask.term == self.term and newer and self.vote in ("", source) and self.role is Role.FOLLOWER
            if granted:
                self.vote, self._hard = source, True
                self._reset_deadline(now)
        self._send(source, VoteReply(self.term, ask.term, ask.pre, granted, self.start, self.unsure))

    def _hear_vote(self, now: float, source: str, reply: VoteReply) -> None:
        wanted = Role.PRECANDIDATE if reply.pre else Role.CANDIDATE
        asked = self.term + 1 if reply.pre else self.term
        if self.role is not wanted or reply.asked != asked:
            if reply.term > self.term:
                self._follow(now, reply.term, "")
            return
        if not reply.granted and reply.term > self.term:
            self._follow(now, reply.term, "")
            return
        self.votes[source] = reply.granted, reply.start, reply.unsure
        self._count_votes(now)

    def _hear_leader(self, now: float, source: str) -> None:
        log.must_hold(self.role is not Role.LEADER, "one leader in a term")
        self._follow(now, self.term, source)
        self.heard = now
        self._reset_deadline(now)

    def _hear_append(self, now: float, source: str, append: Append) -> None:
        if append.term < self.term:
            self._refuse(source, append.round, 0)
            return
        self._hear_leader(now, source)
        last = append.prev_index + len(append.entries)
        if append.prev_index < self.commit and last >= self.commit:  # what is committed agrees: look at the rest only
            entries = append.entries[self.commit - append.prev_index :]
        elif append.prev_index < self.commit:
            self._send(source, self._reply(True, self.commit, append.round))
            return
        else:
            if self.term_at(append.prev_index) != append.prev_term:
                self._refuse(source, append.round, append.prev_index)
                return
            entries = append.entries
        for place, entry in enumerate(entries):
            mine = self.term_at(entry.index)
            if mine == entry.term:
                continue
            if mine is not None:  # the leader's log goes before ours from the first index where terms differ
                self._cut(entry.index)
            self.log += entries[place:]
            if any(later.kind is Kind.MEMBERS for later in entries[place:]):
                self.members = self._members_now()
            break
        self.commit = max(self.commit, min(append.commit, last))
        self._send(source, self._reply(True, last, append.round))

    def _cut(self, index: int) -> None:
        """Drop the entries from an index on; none of them was committed."""
        log.must_hold(index > self.commit, "what is committed is never cut")
        del self.log[index - self.base[0] - 1 :]
        self.stable = min(self.stable, index - 1)
        self.members = self._members_now()

    def _reply(self, ok: bool, match: int, round_: int, hint: int = 0, hint_term: int = 0) -> AppendReply:
        return AppendReply(self.term, ok, match, hint, hint_term, round_, self.start, self.unsure)

    def _refuse(self, source: str, round_: int, prev: int) -> None:
        """Say where to look: the last of ours that can agree, past the whole term of a conflict."""
        hint = min(prev, self.last_index)
        conflict = self.term_at(hint)
        if hint == prev and conflict is not None:
            while hint > self.commit and self.term_at(hint) == conflict:
                hint -= 1
        self._send(source, self._reply(False, 0, round_, hint, self.term_at(hint) or 0))

    def _hear_snap(self, now: float, source: str, snap: Snap) -> None:
        if snap.term < self.term:
            self._send(source, SnapReply(self.term, snap.index, 0, False, snap.round, self.start, self.unsure))
            return
        self._hear_leader(now, source)
        if snap.index <= self.commit:
            self._snap_reply(source, snap, snap.total, True)
            return
        index, term, have = self._incoming
        if (index, term) != (snap.index, snap.index_term):
            have = 0
        if snap.offset != have or self._chunk is not None:
            self._snap_reply(source, snap, have, False)
            return
        have += len(snap.data)
        self._incoming = (snap.index, snap.index_term, have)
        self._chunk = snap
        self._snap_reply(source, snap, have, have >= snap.total)

    def _snap_reply(self, source: str, snap: Snap, offset: int, done: bool) -> None:
        self._send(source, SnapReply(self.term, snap.index, offset, done, snap.round, self.start, self.unsure))

    # A leader

    def _append(self, kind: Kind, data: bytes) -> Entry:
        entry = Entry(self.last_index + 1, self.term, kind, data)
        self.log.append(entry)
        if kind is Kind.MEMBERS:
            self.members = self._members_now()
        return entry

    def _lead(self, now: float) -> None:
        if self.options.check_quorum:
            recent = [name for name, p in self.progress.items() if now - p.heard < self.options.election]
            if not self.enough([self.me, *recent]):
                self._follow(now, self.term, "")  # another may lead already: ours is no word to act on
                return
        for progress in self.progress.values():
            if progress.sent and now - progress.sent >= self.options.resend:
                self._probe(progress)
        if now >= self.beaten + self.options.beat:
            self._begin_round(now)

    def _probe(self, progress: Progress) -> None:
        """What is under way counts as lost: find out anew where the logs agree."""
        progress.inflight.clear()
        progress.sent = 0.0
        if progress.mode is Mode.REPLICATE:  # else where they agree is not known, and `next` is our guess at it
            progress.mode, progress.next = Mode.PROBE, progress.match + 1

    def _begin_round(self, now: float) -> None:
        """One message to everyone, numbered: its answers show who still follows us."""
        self.round += 1
        self.beaten = now
        for name, progress in self.progress.items():
            self._send_to(now, name, progress, beat=True)

    def _replicate(self, now: float) -> None:
        for name, progress in self.progress.items():
            self._send_to(now, name, progress)

    def _send_to(self, now: float, name: str, progress: Progress, beat: bool = False) -> None:
        """What a follower needs next, as far as it may be under way; a beat at least, where one is due."""
        if progress.next <= self.base[0]:
            self._send_snap(now, name, progress, beat)
            return
        progress.mode = Mode.PROBE if progress.mode is Mode.SNAPSHOT else progress.mode
        room = self.options.inflight if progress.mode is Mode.REPLICATE else 1
        sent = False
        while len(progress.inflight) < room and progress.next <= self.last_index:
            entries = self._batch(progress.next)
            self._send_append(now, name, progress, entries)
            sent = True
            progress.inflight.append(entries[-1].index)
            if progress.mode is not Mode.REPLICATE:
                break
            progress.next = entries[-1].index + 1
        if beat and not sent:
            self._send_append(now, name, progress, [])

    def _send_append(self, now: float, name: str, progress: Progress, entries: list[Entry]) -> None:
        prev = progress.next - 1
        term = self.term_at(prev)
        if term is None:
            log.must_hold(False, "what a follower needs is in the log, or in the snapshot")
            return
        self._send(name, Append(self.term, prev, term, tuple(entries), self.commit, self.round))
        if entries and not progress.sent:
            progress.sent = now

    def _batch(self, first: int) -> list[Entry]:
        found: list[Entry] = []
        size = 0
        for entry in self.entries(first, first + self.options.entries - 1):
            if found and size + len(entry.data) > self.options.batch:
                break
            found.append(entry)
            size += len(entry.data)
        return found

    def _send_snap(self, now: float, name: str, progress: Progress, beat: bool) -> None:
        """One piece at a time, sent again where no answer came; the shell puts the bytes in."""
        taking = sum(1 for other in self.progress.values() if other.mode is Mode.SNAPSHOT and other.inflight)
        if progress.mode is not Mode.SNAPSHOT:
            progress.mode, progress.offset = Mode.SNAPSHOT, 0
            progress.inflight.clear()
        if progress.inflight or taking >= self.options.sending:
            if beat:  # a sign of life: it is refused, and its answer says that the member hears us
                self._send(name, Append(self.term, self.last_index, self.last_term, (), self.commit, self.round))
            return
        meta = self.snapshot
        progress.inflight.append(meta.index)
        progress.sent = now
        self._send(name, Snap(self.term, meta.index, meta.term, progress.offset, meta.size, b"", self.round))

    def _hear_start(self, progress: Progress, now: float, start: int, unsure: bool) -> None:
        progress.heard = now
        if start != progress.start:  # it has begun anew, and may have forgotten: no earlier word of it counts
            if progress.start:
                progress.match, progress.offset = 0, 0
                progress.inflight.clear()
                progress.sent, progress.mode = 0.0, Mode.PROBE
                progress.next = min(progress.next, self.last_index + 1)  # a guess: it says where it is
            progress.start, progress.round, progress.known_round = start, 0, self.round
        progress.unsure = unsure

    def _hear_reply(self, now: float, name: str, progress: Progress, reply: AppendReply) -> None:
        progress.round = max(progress.round, reply.round)
        if progress.mode is Mode.SNAPSHOT and not reply.ok:
            self._answer_reads()
            return
        if reply.ok:
            while progress.inflight and progress.inflight[0] <= reply.match:
                progress.inflight.popleft()
            progress.sent = now if progress.inflight else 0.0
            if reply.match > progress.match:
                progress.match = reply.match
            progress.next = max(progress.next, progress.match + 1)
            if progress.mode is Mode.PROBE:
                progress.mode, progress.next = Mode.REPLICATE, progress.match + 1
                progress.inflight.clear()
                progress.sent = 0.0
            self._advance_commit(now)
        elif not self._back_up(progress, reply):
            self._answer_reads()
            return  # nothing new to try: with the next beat
        self._answer_reads()
        self._send_to(now, name, progress)

    def _back_up(self, progress: Progress, reply: AppendReply) -> bool:
        """A refused append: go back to where the logs can agree, never before what is known to. Whether that is new."""
        before = progress.next
        progress.inflight.clear()
        progress.sent = 0.0
        progress.mode = Mode.PROBE
        place = min(reply.hint_index, self.last_index)
        while place > progress.match and (self.term_at(place) or 0) > reply.hint_term:
            place -= 1  # a term of ours that it does not have there can't agree
        progress.next = max(progress.match + 1, min(place + 1, progress.next))
        return progress.next != before

    def _hear_snap_reply(self, now: float, name: str, progress: Progress, reply: SnapReply) -> None:
        progress.round = max(progress.round, reply.round)
        progress.inflight.clear()
        progress.sent = 0.0
        if reply.done:
            progress.match = max(progress.match, reply.index)
            progress.next, progress.mode = max(progress.next, progress.match + 1), Mode.PROBE
            self._advance_commit(now)
        elif reply.index == self.snapshot.index:
            progress.offset = min(reply.offset, self.snapshot.size)
        else:
            progress.offset = 0  # of a snapshot that is no more
        self._answer_reads()
        self._send_to(now, name, progress)

    def _advance_commit(self, now: float) -> None:
        """What a quorum has on disk is committed, if it is of our own term: with it all that comes before."""
        marks = sorted({p.match for p in self.progress.values()} | {self.stable}, reverse=True)
        for mark in marks:
            if mark <= self.commit or not self._may_commit(mark):
                continue
            if self.enough(self._have(mark)):
                self.commit = mark
                self._committed(now)
                return

    def _may_commit(self, index: int) -> bool:
        return self.term_at(index) == self.term

    def _have(self, index: int) -> list[str]:
        there = [name for name, progress in self.progress.items() if progress.match >= index]
        return [self.me, *there] if self.stable >= index else there

    def _committed(self, now: float) -> None:
        if self.commit >= self.settled:
            # a quorum of this start's votes made us leader, so nothing that we forgot can have been committed
            self.unsure = False
        if self.me not in self.members and self.commit >= self._members_index():
            self._follow(now, self.term, "")  # our removal is committed: the others go on
            return
        waiting = [number for number, round_ in self._reads if not round_]
        if waiting and self.commit >= self.settled:
            self._reads = [read for read in self._reads if read[1]]
            for number in waiting:
                self.read(now, number)
        for name, progress in self.progress.items():
            self._settle(name, progress)
        self._replicate(now)

    def _members_index(self) -> int:
        for entry in reversed(self.log):
            if entry.kind is Kind.MEMBERS:
                return entry.index
        return self.snapshot.index

    def _settle(self, name: str, progress: Progress) -> None:
        """Say `Sure` to a member that has caught up with all that it may have forgotten."""
        if self.role is not Role.LEADER or not progress.unsure or self.commit < self.settled:
            return
        if progress.match < self.commit:
            return
        if self.granted.get(name) != progress.start:
            since = [other for other, p in self.progress.items() if other != name and p.round > progress.known_round]
            if not self.enough([self.me, *since]):
                return
        self._send(name, Sure(self.term, progress.start))

    def _answer_reads(self) -> None:
        if not self._reads:
            return
        left = []
        for number, round_ in self._reads:
            answered = [name for name, progress in self.progress.items() if progress.round >= round_]
            if round_ and self.enough([self.me, *answered]):
                self._done_reads.append((number, self.commit))
            else:
                left.append((number, round_))
        self._reads = left

    # Small things

    def clone(self) -> Raft:
        """One like this that goes its own way: for the model check."""
        twin = copy.copy(self)
        for name in ("log", "_out", "_reads", "_done_reads", "_failed_reads"):
            setattr(twin, name, list(getattr(self, name)))
        twin.votes, twin.granted = dict(self.votes), dict(self.granted)
        twin.progress = {name: progress.clone() for name, progress in self.progress.items()}
        return twin

    def _reset_deadline(self, now: float) -> None:
        self.deadline = now + self.options.election * (1.0 + self._random.random())

    def _send(self, name: str, message: Message) -> None:
        self._out.append((name, message))
