"""Mutations of the Raft core: versions with a known fault, to show that the model check detects it."""

from __future__ import annotations

from tealwing.replica.messages import ConfirmIncarnation, RequestVote
from tealwing.replica.raft import Progress, Raft, Role


class CommitsOldTerms(Raft):
    """A mutation: an entry of an earlier term is committed as soon as a majority has it (Raft's figure 8)."""

    def _may_commit(self, index: int) -> bool:
        return True


class VotesTwice(Raft):
    """A mutation: a member grants a vote even if it has voted in that term already."""

    def _handle_request_vote(self, now: float, source: str, request: RequestVote) -> None:
        self.vote = ""
        super()._handle_request_vote(now, source, request)


class TrustsOldDisks(Raft):
    """A mutation: members that may have forgotten a vote or an entry count as confirmed."""

    def _is_unconfirmed(self, name: str) -> bool:
        return False


class ConfirmsWithoutQuorum(Raft):
    """A mutation: the leader confirms a member's incarnation once it has all committed entries, without a quorum."""

    def _confirm_incarnation(self, name: str, progress: Progress) -> None:
        if self.role is Role.LEADER and progress.unconfirmed and progress.match >= self.commit:
            self._send(name, ConfirmIncarnation(self.term, progress.incarnation))


class LeadsByForgottenVotes(Raft):
    """A mutation: a candidate leads with a quorum of votes even if some voters have forgotten theirs since."""

    def _votes_won(self, now: float) -> None:
        self._become_leader(now)


class CountsLearners(Raft):
    """A mutation: a learner's acknowledgement counts towards the commit quorum."""

    def _is_replicated(self, index: int) -> bool:
        there = [name for name, progress in self.progress.items() if progress.match >= index]
        return len(there) + (self.stable >= index) > len(self.members) // 2


MUTATIONS: dict[str, type[Raft]] = {
    "": Raft,
    "commit-old-terms": CommitsOldTerms,
    "vote-twice": VotesTwice,
    "trust-old-disks": TrustsOldDisks,
    "sure-at-once": ConfirmsWithoutQuorum,
    "forgotten-votes": LeadsByForgottenVotes,
    "count-learners": CountsLearners,
}
