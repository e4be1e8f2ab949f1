"""Single-server membership changes, and the conditions for promoting a learner."""

from __future__ import annotations

from tealwing.replica.messages import Kind, members_data
from tealwing.replica.raft.commit import Commitment
from tealwing.replica.raft.records import BusyError, NotLeaderError, Progress, Role


class Membership(Commitment):
    """Membership changes by the leader.

    Each change adds or removes at most one voter. Any two majorities of consecutive voter sets intersect, so quorums
    before and after a change intersect (Ongaro's dissertation, 4.1). This includes the margin for unconfirmed members:
    of n voters and the n + 1 after a promotion, two quorums of which the later has u unconfirmed members share
    1 + min(s, u) members.

    **Promoted learners and stale disks** (`stale` s above 0). A learner's acknowledgements counted in no quorum. But it
    may have voted before it became a learner, and its disk may be stale since, so it is trusted no more than any
    restarted member. Each incarnation of a learner is therefore unconfirmed (also one with an empty disk, which knows
    no members), and the leader sends it `ConfirmIncarnation` under the same condition: it holds everything committed
    when a quorum of voters, which excludes it, acknowledged a round started after the leader first saw that
    incarnation. It is not promoted before (`promotion_blocked_by`), so learners with stale disks do not count against
    s. If it restarts between its last reply to the leader and the entry that promotes it, the new incarnation is
    unconfirmed, reports so with its first acknowledgement and vote, and counts as an unconfirmed voter, as that of any
    voter would; the members with stale disks are then at most s by the definition of s.

    **Votes of learners.** A learner is not asked for its vote, its replies count in no quorum, and it is neither a
    candidate nor a target of leadership transfer. A candidate that does ask it has a configuration in its log in
    which the learner is a voter; the learner answers as any member, its term and vote are binding, and the candidate
    counts by its own log. Otherwise a group of one that promotes a second member, and restarts before the second has
    that entry, could never elect a leader.
    """

    def change_members(
        self, now: float, members: tuple[str, ...], learners: tuple[str, ...] | None = None
    ) -> tuple[int, int]:
        """Append a new configuration and return index and term of its entry.

        Only a single change is allowed: add or remove a learner, promote a learner, or demote a voter. If `learners`
        is None, one voter is added or removed; the learners stay, except for one that becomes a voter.

        Raises NotLeaderError if this member is not the leader, BusyError if a change is pending or a learner is not yet
        promotable (retry later), and ValueError if the change is not allowed.
        """
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader)
        learners = self._checked_learners(members, learners)
        pending = any(entry.kind is Kind.MEMBERS for entry in self.entries(self.commit + 1, self.last_index))
        if pending or self.commit < self.term_start_index:  # otherwise two changes could have disjoint majorities
            raise BusyError(
                "a previous membership change or the first entry of the term is not committed yet; retry later"
            )
        for name in set(self.learners) & set(members):
            if why := self.promotion_blocked_by(now, name):
                self._send_to(now, name, self.progress[name], heartbeat=True)  # its reply may be the only thing missing
                raise BusyError(why)
        entry = self._append(Kind.MEMBERS, members_data(members, learners))
        self._update_progress(now)
        self._begin_round(now)
        return entry.index, entry.term

    def promotion_blocked_by(self, now: float, name: str) -> str:
        """Return why the leader cannot promote a learner yet, or an empty string if it can."""
        progress = self.progress.get(name)
        if name not in self.learners or progress is None:
            return f"{name} is not a learner of this group"
        if progress.match < self.learner_commit:  # later commits are sent with the next round
            return f"{name} is behind: its match index is {progress.match}, the commit index {self.learner_commit}"
        if now - progress.last_contact >= self.options.election_timeout:
            return f"no reply from {name} for {now - progress.last_contact:.1f} s"
        if progress.unconfirmed:
            return f"{name} has restarted and is not confirmed yet to hold everything that its disk may have lost"
        return ""

    def _checked_learners(self, voters: tuple[str, ...], learners: tuple[str, ...] | None) -> tuple[str, ...]:
        """Return the learners after a membership change.

        Raises ValueError if it is not a single allowed change.
        """
        changed = set(voters) ^ set(self.members)
        if learners is None:
            if len(changed) != 1 or not voters:
                raise ValueError(
                    f"voters {', '.join(voters) or 'none'}: add or remove one voter at a time, and keep at least one;"
                    f" the voters are {', '.join(self.members)}"
                )
            learners = tuple(name for name in self.learners if name not in voters)
        else:
            moved = set(learners) ^ set(self.learners)
            if len(moved) != 1 or changed not in (set(), moved) or not voters:
                raise ValueError(
                    f"voters {', '.join(voters) or 'none'}; learners {', '.join(learners) or 'none'}: make one change"
                    " at a time (add or remove a learner, promote a learner, or demote a voter), and keep at least one"
                    " voter"
                )
            # with fewer voters, quorums cannot tolerate that many stale disks
            min_voters = 2 * self.options.max_stale_disks + 1
            if set(voters) < set(self.members) and len(voters) < min_voters:
                raise ValueError(
                    f"{len(voters)} voters: with stale {self.options.max_stale_disks} keep at least {min_voters} voters"
                )
        if len({*voters, *learners}) != len(voters) + len(learners):
            raise ValueError(
                f"voters {', '.join(voters) or 'none'}; learners {', '.join(learners) or 'none'}: name each member"
                " once, as a voter or as a learner"
            )
        return learners

    def _update_progress(self, now: float) -> None:
        """Add and remove Progress records to match the configuration; spread the heartbeats of learners evenly."""
        for name in self.members:
            if name != self.local_id and name not in self.progress:
                self.progress[name] = Progress(self.last_index, last_contact=now)
        for position, name in enumerate(self.learners):
            if name != self.local_id and name not in self.progress:
                due = now + self.options.learner_heartbeat_interval * position / len(self.learners)
                self.progress[name] = Progress(self.last_index, last_contact=now, next_heartbeat=due)
        for name in [name for name in self.progress if name not in self.members and name not in self.learners]:
            del self.progress[name]
