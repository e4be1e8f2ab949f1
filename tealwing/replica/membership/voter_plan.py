"""Choice of the next membership change when voters are permanently lost; pure.

A voter that is silent for too long counts as lost, with its disk: the fleet still has a majority, but tolerates fewer
failures. A live learner that has caught up replaces it, in separate changes, each decided after the previous one is
committed: the learner is promoted, then the lost voter is demoted. An operator may then remove it, or it may return as
a learner.

Why promote first: for the number of further failures tolerated the order does not matter. With l of n voters live,
l - (n // 2 + 1) more may fail; either first step leaves that unchanged for odd n and adds one for even n. But demoting
first stores entries committed in between on fewer disks: of 3 voters with one lost, 2 are left, both are needed for a
majority, and if the learner is lost before its promotion the fleet stays at 2 voters. Promoting first makes 4 voters
with a majority of 3 disks; if the second change never follows, nothing is lost, as the lost voter still counts when it
returns. At no time is a majority fewer disks than before.

If the live voters are no majority, nothing is proposed, as it could not be committed.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """The members after a change, as passed to `Raft.change_members`, and the reason."""

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
    """Return the next membership change, or None; independent of the order within the collections.

    `last_contact` has the time in s of the last message of each member, the leader included; a member that is missing
    has sent none. `ready` has the learners that may be promoted (`Raft.promotion_blocked_by` is empty). `silence_limit`
    is the silence in s after which a voter counts as lost. `desired_voters` is the number of voters to restore: a lost
    voter is demoted only while there are more, that is after a learner was promoted in its place.
    """
    live = {name for name in {*voters, *learners} if name in last_contact and now - last_contact[name] < silence_limit}
    lost = sorted(set(voters) - live)
    if len(set(voters) & live) < len(set(voters)) // 2 + 1:
        return None  # nothing can be committed; a minority must not decide that the majority is lost
    if lost and len(set(voters)) > desired_voters:
        lost_voter = lost[0]
        rest = tuple(sorted(set(voters) - {lost_voter}))
        why = f"no message from {lost_voter} for {silence_limit:g} s, and a learner was promoted in its place"
        return MembershipChange(rest, tuple(sorted({*learners, lost_voter})), why)
    if lost or len(set(voters)) < desired_voters:
        candidates = sorted(name for name in set(learners) & live if name in ready)
        if candidates:
            promoted = candidates[0]
            why = (
                f"{promoted} is promoted in place of {lost[0]}"
                if lost
                else f"{promoted} is promoted to restore {desired_voters} voters"
            )
            return MembershipChange(tuple(sorted({*voters, promoted})), tuple(sorted(set(learners) - {promoted})), why)
    return None
