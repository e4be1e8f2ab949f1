"""Elections: asking for votes, giving them, handing over."""

from __future__ import annotations

from tealwing.replica.messages import Hand, Held, Hold, Kind, VoteAsk, VoteReply
from tealwing.replica.raft.leading import Leading
from tealwing.replica.raft.records import Role


class Electing(Leading):
    """How a member comes to lead; a learner does not (see Changing).

    Where disks may come back older, votes are asked for and then held: once a candidate has a quorum of votes it asks
    those that gave them once more, and leads when they have answered in the term and the start in which they voted. So
    there was a moment, the one of its question, at which all of them held their votes together: whoever has forgotten
    its vote since has begun anew after all the others had voted. See docs/replication.md for what rests on that.
    """

    def campaign(self, now: float) -> None:
        """Ask for votes: first whether they would be given, where pre-votes are on."""
        self._reset_deadline(now)
        if self.me not in self.members:
            return
        self.leader, self.held = "", set()
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
        self.held = set()
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
            self._won(now)

    def _won(self, now: float) -> None:
        """A quorum has voted for us: without older disks that is all."""
        if not self.options.stale:
            self._become_leader(now)
            return
        self.held = {self.me}
        for name, (granted, _, _) in self.votes.items():
            if granted and name != self.me:
                self._send(name, Hold(self.term))
        self._count_held(now)  # alone, we have all that we need

    def _hear_held(self, now: float, source: str, reply: Held) -> None:
        if self.role is not Role.CANDIDATE or not self.held or reply.term != self.term:
            return
        granted, start, _ = self.votes.get(source, (False, 0, False))
        if granted and start == reply.start:
            self.held.add(source)
            self._count_held(now)

    def _count_held(self, now: float) -> None:
        if self.enough(self.held):
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self.granted = {name: start for name, (granted, start, _) in self.votes.items() if granted}
        votes = self.votes
        self.role, self.leader = Role.LEADER, self.me
        self.progress, self.held = {}, set()
        self._append(Kind.NOOP, b"")
        self._keep_progress(now)
        for name, (_, start, unsure) in votes.items():
            if name in self.progress:
                self.progress[name].start, self.progress[name].unsure = start, unsure
        self.settled = self.last_index
        self._begin_round(now)

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
        if self.held:
            return  # it may have voted after the others were asked whether they hold theirs
        self.votes[source] = reply.granted, reply.start, reply.unsure
        self._count_votes(now)
