"""Who should vote: which one change of members comes next as voters are lost for good; pure.

A voter that is silent for long is gone, with its disk: the fleet still has a majority, but the next loss counts. A live
learner that has caught up takes its place, in three changes of which each is asked for anew when the one before it is
committed: first the learner is promoted, then the lost voter is demoted, and then it may be removed by an operator, or
come back and learn.

Why promote first. As to how many voters more may fail the order does not matter: of n voters l live, and l - (n // 2 +
1) more may fail. Either first step leaves that as it is for odd n and makes it one more for even n. But demoting first
has what is committed in between on fewer disks: of 3 voters with one lost, 2 are left, a majority is those 2, and if
the learner is lost before its turn the fleet has 2 voters for good. Promoting first makes it 4, whose majority is 3
disks, and if nothing comes after it, none is lost by that: the lost voter still counts if it comes back. At each moment
a majority is at least as many disks as before.

Where the live voters are no majority nothing is proposed: it could not be committed.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """The members after the next change, and why: what `Raft.change_members` is given."""

    voters: tuple[str, ...]
    learners: tuple[str, ...]
    reason: str


def next_change(
    voters: Collection[str],
    learners: Collection[str],
    last_contact: Mapping[str, float],
    ready: Collection[str],
    now: float,
    silence_limit: float,
    desired_voters: int,
) -> MembershipChange | None:
    """The one next change, or None; the same for the same arguments, whatever order they are in.

    heard: seconds at which each member was heard last, the asking leader included; who is not in it was never heard.
    ready: learners that could vote now (`Raft.promotion_blocked_by` is empty). after: seconds of silence that make a
    voter lost for good. wanted: as many voters as there should be. A lost voter is demoted only while there are more
    voters than that, which the promotion of a learner has made: so none goes without one that has taken its place.
    """
    live = {name for name in {*voters, *learners} if name in last_contact and now - last_contact[name] < silence_limit}
    lost = sorted(set(voters) - live)
    if len(set(voters) & live) < len(set(voters)) // 2 + 1:
        return None  # nothing can be committed: it is not for the members that are left to say that the rest is gone
    if lost and len(set(voters)) > desired_voters:
        lost_voter = lost[0]
        rest = tuple(sorted(set(voters) - {lost_voter}))
        why = f"{lost_voter} was not heard for {silence_limit:g} s, and another votes in its place"
        return MembershipChange(rest, tuple(sorted({*learners, lost_voter})), why)
    if lost or len(set(voters)) < desired_voters:
        candidates = sorted(name for name in set(learners) & live if name in ready)
        if candidates:
            promoted = candidates[0]
            why = (
                f"{promoted} votes in the place of {lost[0]}"
                if lost
                else f"{promoted} votes: {desired_voters} voters are wanted"
            )
            return MembershipChange(tuple(sorted({*voters, promoted})), tuple(sorted(set(learners) - {promoted})), why)
    return None
