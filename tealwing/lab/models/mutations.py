"""Mutations of the replicated log's core: known faults, so that the model check can be seen to find them."""

from __future__ import annotations

from tealwing.replica.messages import ConfirmIncarnation, RequestVote
from tealwing.replica.raft import Progress, Raft, Role


class CommitsOldTerms(Raft):
    """A mutation: an entry of an earlier term counts as committed once a majority has it (Raft's figure 8)."""

    def _may_commit(self, index: int) -> bool:
        return True


class VotesTwice(Raft):
    """A mutation: the vote that was given is not looked at."""

    def _handle_request_vote(self, now: float, source: str, ask: RequestVote) -> None:
        self.vote = ""
        super()._handle_request_vote(now, source, ask)


class TrustsOldDisks(Raft):
    """A mutation: members that may have forgotten count as though they had not."""

    def _is_unconfirmed(self, name: str) -> bool:
        return False


class SureAtOnce(Raft):
    """A mutation: a member is told that it is sure as soon as it has what is committed, whoever has confirmed that."""

    def _confirm_incarnation(self, name: str, progress: Progress) -> None:
        if self.role is Role.LEADER and progress.unconfirmed and progress.match >= self.commit:
            self._send(name, ConfirmIncarnation(self.term, progress.incarnation))


class LeadsByForgottenVotes(Raft):
    """A mutation: who has a quorum of votes leads, whoever of those that gave them has forgotten it since."""

    def _votes_won(self, now: float) -> None:
        self._become_leader(now)


class CountsLearners(Raft):
    """A mutation: a learner's acknowledgement counts for what is committed."""

    def _is_replicated(self, index: int) -> bool:
        there = [name for name, progress in self.progress.items() if progress.match >= index]
        return len(there) + (self.stable >= index) > len(self.members) // 2


MUTATIONS: dict[str, type[Raft]] = {
    "": Raft,
    "commit-old-terms": CommitsOldTerms,
    "vote-twice": VotesTwice,
    "trust-old-disks": TrustsOldDisks,
    "sure-at-once": SureAtOnce,
    "forgotten-votes": LeadsByForgottenVotes,
    "count-learners": CountsLearners,
}
