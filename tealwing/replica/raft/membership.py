"""Who the members are: one change at a time, and when a learner may vote."""

from __future__ import annotations

from tealwing.replica.messages import Kind, members_data
from tealwing.replica.raft.commit import Commitment
from tealwing.replica.raft.records import BusyError, NotLeaderError, Progress, Role


class Membership(Commitment):
    """What a leader does about members.

    Each change makes voters by one more or one fewer, or leaves them. Of two such sets, one after the other, any two
    majorities share a member, so quorums before and after a change meet (Ongaro's dissertation, 4.1), with the members
    more than a majority that unsure ones ask for, too: of n voters and the n + 1 after a promotion, two quorums of
    which the later has u unsure members share 1 + min(s, u).

    **A promoted learner and older disks** (`stale` s above 0). What a learner has acknowledged counted in no quorum.
    But it may have voted before it became a learner, and its disk may have come back older since, so it has no more
    right to be trusted than any start. So each start of a learner is unsure as any is (also one with no disk at all,
    that knows no members), and the leader says `ConfirmIncarnation` to it under the same condition: it has all that was
    committed when a quorum of voters, of which it is none, confirmed the leader in a round begun after the leader heard
    of that start. It is not promoted before (`promotion_blocked_by`): of all learners, those that have forgotten thus
    never count against s as long as they are learners. If it starts anew between the leader's last word of it and the
    entry that promotes it, that start is unsure, says so with its first acknowledgement and its first vote, and counts
    as an unsure voter, as the start of any voter would: the members that have forgotten then are at most s by what s
    means.

    **A learner is not asked for its vote**, its acknowledgements and answers count in no quorum, and it neither stands
    for election nor is handed the lead. Who asks it all the same holds it for a voter by a later entry than it has, or
    by an earlier one, and it answers as anyone does: term and vote bind it, and the candidate counts by its own log. If
    it did not, a fleet of one that promotes a second, and restarts before the second has that entry, could never elect.
    """

    def change_members(
        self, now: float, members: tuple[str, ...], learners: tuple[str, ...] | None = None
    ) -> tuple[int, int]:
        """Other voters and learners; index and term of the entry that says so. NotLeader, Busy, or ValueError.

        One change at a time: one learner more or fewer, a learner that votes from now on, a voter that only learns
        from now on. learners None: they stay, but for one that is named as a voter; one voter more, or one fewer. Busy,
        with the cause, also where a learner can't vote yet: the same call later may do.
        """
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader)
        learners = self._checked_learners(members, learners)
        pending = any(entry.kind is Kind.MEMBERS for entry in self.entries(self.commit + 1, self.last_index))
        if pending or self.commit < self.term_start_index:  # else two changes may each find a majority of their own
            raise BusyError("another change of members, or the leader's first entry, is not committed yet")
        for name in set(self.learners) & set(members):
            if why := self.promotion_blocked_by(now, name):
                self._send_to(now, name, self.progress[name], heartbeat=True)  # its answer may be all that is missing
                raise BusyError(why)
        entry = self._append(Kind.MEMBERS, members_data(members, learners))
        self._update_progress(now)
        self._begin_round(now)
        return entry.index, entry.term

    def promotion_blocked_by(self, now: float, name: str) -> str:
        """Why a learner can't vote yet, as its leader knows; empty: it can."""
        progress = self.progress.get(name)
        if name not in self.learners or progress is None:
            return f"{name} is no learner of ours"
        if (
            progress.match < self.learner_commit
        ):  # what it had to be sent: news since the last round goes out with the next
            return f"{name} is behind: it has {progress.match} of the {self.learner_commit} entries that were committed"
        if now - progress.last_contact >= self.options.election_timeout:
            return f"{name} was not heard for {now - progress.last_contact:.1f} s"
        if progress.unconfirmed:
            return f"{name} has started anew, and it is not shown yet that it has all that it may have forgotten"
        return ""

    def _checked_learners(self, voters: tuple[str, ...], learners: tuple[str, ...] | None) -> tuple[str, ...]:
        """The learners of a change, if it is one that can be made at once; else ValueError."""
        other = set(voters) ^ set(self.members)
        if learners is None:
            if len(other) != 1 or not voters:
                raise ValueError("one member more or one fewer at a time, and one at least")
            learners = tuple(name for name in self.learners if name not in voters)
        else:
            moved = set(learners) ^ set(self.learners)
            if len(moved) != 1 or other not in (set(), moved) or not voters:
                raise ValueError(
                    "one change at a time: one learner more or fewer, one learner that votes from now on, or one voter "
                    "that only learns from now on; and one voter at least"
                )
            min_voters = (
                2 * self.options.max_stale_disks + 1
            )  # of fewer, s that have forgotten are too many for any quorum
            if set(voters) < set(self.members) and len(voters) < min_voters:
                raise ValueError(f"with stale {self.options.max_stale_disks} there must be {min_voters} voters left")
        if len({*voters, *learners}) != len(voters) + len(learners):
            raise ValueError("each member is named once, as a voter or as a learner")
        return learners

    def _update_progress(self, now: float) -> None:
        """Of the members as they are now; the beats of learners are spread over theirs."""
        for name in self.members:
            if name != self.local_id and name not in self.progress:
                self.progress[name] = Progress(self.last_index, last_contact=now)
        for place, name in enumerate(self.learners):
            if name != self.local_id and name not in self.progress:
                due = now + self.options.learner_heartbeat_interval * place / len(self.learners)
                self.progress[name] = Progress(self.last_index, last_contact=now, next_heartbeat=due)
        for name in [name for name in self.progress if name not in self.members and name not in self.learners]:
            del self.progress[name]
