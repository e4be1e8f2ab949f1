"""Interface of the Raft core to its shell: the shell passes events in and gets a Ready with the work to do."""

from __future__ import annotations

import copy

from tealwing.replica.messages import (
    AppendEntries,
    AppendEntriesReply,
    ConfirmIncarnation,
    ConfirmVote,
    InstallSnapshot,
    InstallSnapshotReply,
    Message,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
    VoteConfirmation,
)
from tealwing.replica.raft.election import Election
from tealwing.replica.raft.records import Ready, Role

_TermMessage = (
    VoteConfirmation | AppendEntries | InstallSnapshot | TimeoutNow | ConfirmIncarnation | AppendEntriesReply
    | InstallSnapshotReply
)  # fmt: skip


class Raft(Election):
    """Raft state machine of one member."""

    def step(self, now: float, source: str, message: Message) -> None:
        """Process a received message."""
        match message:
            case RequestVote():
                self._handle_request_vote(now, source, message)
            case ConfirmVote():  # requests no vote, so its term is not adopted
                self._send(source, VoteConfirmation(self.term, self.incarnation))
            case RequestVoteReply():
                if message.term > self.term and not message.pre_vote:
                    self._become_follower(now, message.term, "")
                self._handle_vote_reply(now, source, message)
            case _:
                if message.term > self.term:
                    self._become_follower(now, message.term, "")
                self._step_in_term(now, source, message)

    def _step_in_term(self, now: float, source: str, message: _TermMessage) -> None:
        """Process a message whose term is at most the current term."""
        match message:
            case VoteConfirmation():
                self._handle_vote_confirmation(now, source, message)
            case AppendEntries():
                self._handle_append_entries(now, source, message)
            case InstallSnapshot():
                self._handle_install_snapshot(now, source, message)
            case TimeoutNow():
                if message.term == self.term and source == self.leader and self.local_id in self.members:
                    self._start_election(now, leadership_transfer=True)
            case ConfirmIncarnation():
                if message.term == self.term and message.incarnation == self.incarnation:
                    self.unconfirmed = False
            case _:
                self._handle_follower_reply(now, source, message)

    def _handle_follower_reply(self, now: float, source: str, reply: AppendEntriesReply | InstallSnapshotReply) -> None:
        """Process a follower's reply; ignore it if this member no longer leads the term of the reply."""
        progress = self.progress.get(source)
        if self.role is not Role.LEADER or reply.term != self.term or progress is None:
            return
        self._observe_incarnation(progress, now, reply.incarnation, reply.unconfirmed)
        if isinstance(reply, AppendEntriesReply):
            self._handle_append_reply(now, source, progress, reply)
        else:
            self._handle_snapshot_reply(now, source, progress, reply)
        self._confirm_incarnation(source, progress)

    def tick(self, now: float) -> None:
        """Run the timers: heartbeats and check-quorum as leader, else the election timeout."""
        if self.role is Role.LEADER:
            self._leader_tick(now)
        elif now >= self.election_deadline:
            self.campaign(now)

    def next_deadline(self) -> float:
        """Return the time at which `tick` is next due."""
        return (
            self.last_round_at + self.options.heartbeat_interval if self.role is Role.LEADER else self.election_deadline
        )

    def ready(self) -> Ready:
        """Return the pending work and mark it as taken.

        Log entries are returned again until `entries_saved` reports them durable, everything else only once.
        """
        hard_state = (self.term, self.vote) if self._hard_state_changed else None
        entries = self.entries(self.stable + 1, self.last_index)
        messages, self._outgoing = self._outgoing, []
        chunk, self._pending_chunk = self._pending_chunk, None
        committed = self.entries(self.applied + 1, min(self.commit, self.stable))
        if committed:
            self.applied = committed[-1].index
        reads, self._done_reads = self._done_reads, []
        failed, self._failed_reads = self._failed_reads, []
        self._hard_state_changed = False
        return Ready(hard_state, entries, chunk, messages, committed, reads, failed)

    def has_ready(self) -> bool:
        """Return whether `ready` has pending work."""
        return bool(
            self._hard_state_changed or self._outgoing or self._pending_chunk or self._done_reads or self._failed_reads
            or self.stable < self.last_index or self.applied < min(self.commit, self.stable)
        )  # fmt: skip

    def clone(self) -> Raft:
        """Return an independent copy, for the model check."""
        duplicate = copy.copy(self)
        for name in ("log", "_outgoing", "_reads", "_done_reads", "_failed_reads"):
            setattr(duplicate, name, list(getattr(self, name)))
        duplicate.votes, duplicate.voter_incarnations, duplicate.vote_confirmations = (
            dict(self.votes),
            dict(self.voter_incarnations),
            set(self.vote_confirmations),
        )
        duplicate.progress = {name: progress.clone() for name, progress in self.progress.items()}
        return duplicate
