"""Elections: requesting and granting votes, and leadership transfer."""

from __future__ import annotations

from tealwing.replica.messages import ConfirmVote, Kind, RequestVote, RequestVoteReply, TimeoutNow, VoteConfirmation
from tealwing.replica.raft.leader import Leader
from tealwing.replica.raft.records import Role


class Election(Leader):
    """Leader election; a learner never becomes a candidate (see Membership).

    If disks may be stale, votes are confirmed: a candidate with a quorum of votes sends ConfirmVote to its voters, and
    becomes leader once a quorum has replied in the term and the incarnation in which they voted. At the time of the
    request all of these still knew their votes, so a voter that has lost its vote restarted after all others had voted.
    See docs/replication.md for the proof that depends on it.
    """

    def campaign(self, now: float) -> None:
        """Start an election, with a pre-vote first if enabled; on a member that is not a voter only reset the timer."""
        self._reset_election_deadline(now)
        if self.local_id not in self.members:
            return
        self.leader, self.vote_confirmations = "", set()
        if self.options.pre_vote:
            self.role, self.votes = Role.PRECANDIDATE, {self.local_id: (True, self.incarnation, self.unconfirmed)}
            self._request_votes(now, self.term + 1, True)
        else:
            self._start_election(now)

    def transfer_leadership(self, now: float) -> str:
        """Send TimeoutNow to the most up-to-date voter and return its name, or an empty string if none is eligible.

        This is safe, as the target still needs a quorum of votes; if it fails, an election timeout passes.
        """
        if self.role is not Role.LEADER:
            return ""
        eligible = [
            (progress.match, name)
            for name, progress in self.progress.items()
            if name in self.members
            and not progress.unconfirmed
            and now - progress.last_contact < self.options.election_timeout
        ]
        if not eligible or max(eligible)[0] < self.commit:
            return ""
        name = max(eligible)[1]
        self._send(name, TimeoutNow(self.term))
        return name

    def _start_election(self, now: float, leadership_transfer: bool = False) -> None:
        self.term, self.vote, self._hard_state_changed, self.leader = self.term + 1, self.local_id, True, ""
        self.role, self.votes = Role.CANDIDATE, {self.local_id: (True, self.incarnation, self.unconfirmed)}
        self.vote_confirmations = set()
        self._reset_election_deadline(now)
        self._request_votes(now, self.term, False, leadership_transfer)

    def _request_votes(self, now: float, term: int, pre_vote: bool, leadership_transfer: bool = False) -> None:
        for name in self.members:
            if name != self.local_id:
                self._send(name, RequestVote(term, self.last_index, self.last_term, pre_vote, leadership_transfer))
        self._count_votes(now)  # a single voter wins at once

    def _count_votes(self, now: float) -> None:
        if not self.is_quorum(name for name, (granted, _, _) in self.votes.items() if granted):
            return
        if self.role is Role.PRECANDIDATE:
            self._start_election(now)
        elif self.role is Role.CANDIDATE:
            self._votes_won(now)

    def _votes_won(self, now: float) -> None:
        """Become leader, or request vote confirmations first if disks may be stale."""
        if not self.options.max_stale_disks:
            self._become_leader(now)
            return
        self.vote_confirmations = {self.local_id}
        for name, (granted, _, _) in self.votes.items():
            if granted and name != self.local_id:
                self._send(name, ConfirmVote(self.term))
        self._count_vote_confirmations(now)  # a single voter needs no reply

    def _handle_vote_confirmation(self, now: float, source: str, reply: VoteConfirmation) -> None:
        if self.role is not Role.CANDIDATE or not self.vote_confirmations or reply.term != self.term:
            return
        granted, incarnation, _ = self.votes.get(source, (False, 0, False))
        if granted and incarnation == reply.incarnation:
            self.vote_confirmations.add(source)
            self._count_vote_confirmations(now)

    def _count_vote_confirmations(self, now: float) -> None:
        if self.is_quorum(self.vote_confirmations):
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self.voter_incarnations = {
            name: incarnation for name, (granted, incarnation, _) in self.votes.items() if granted
        }
        votes = self.votes
        self.role, self.leader = Role.LEADER, self.local_id
        self.progress, self.vote_confirmations = {}, set()
        self._append(Kind.NOOP, b"")
        self._update_progress(now)
        for name, (_, incarnation, unconfirmed) in votes.items():
            if name in self.progress:
                self.progress[name].incarnation, self.progress[name].unconfirmed = incarnation, unconfirmed
        self.term_start_index = self.last_index
        self._begin_round(now)

    def _handle_request_vote(self, now: float, source: str, request: RequestVote) -> None:
        leader_alive = self.role is Role.LEADER or (
            self.leader and now - self.last_leader_contact < self.options.election_timeout
        )
        if self.options.check_quorum and leader_alive and self.leader != source and not request.leadership_transfer:
            return  # a member that returns from a partition must not depose a live leader
        up_to_date = (request.last_term, request.last_index) >= (self.last_term, self.last_index)
        if request.pre_vote:
            granted = request.term > self.term and up_to_date
        else:
            if request.term > self.term:
                self._become_follower(now, request.term, "")
            granted = (
                request.term == self.term and up_to_date and self.vote in ("", source) and self.role is Role.FOLLOWER
            )
            if granted:
                self.vote, self._hard_state_changed = source, True
                self._reset_election_deadline(now)
        self._send(
            source,
            RequestVoteReply(self.term, request.term, request.pre_vote, granted, self.incarnation, self.unconfirmed),
        )

    def _handle_vote_reply(self, now: float, source: str, reply: RequestVoteReply) -> None:
        expected_role = Role.PRECANDIDATE if reply.pre_vote else Role.CANDIDATE
        expected_term = self.term + 1 if reply.pre_vote else self.term
        if self.role is not expected_role or reply.requested_term != expected_term:
            if reply.term > self.term:
                self._become_follower(now, reply.term, "")
            return
        if not reply.granted and reply.term > self.term:
            self._become_follower(now, reply.term, "")
            return
        if self.vote_confirmations:
            return  # this vote may have been granted after ConfirmVote was sent to the other voters
        self.votes[source] = reply.granted, reply.incarnation, reply.unconfirmed
        self._count_votes(now)
