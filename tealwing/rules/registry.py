"""The machine of versions in the replicated log: what each command does to its three tables; pure.

proposed -> checked -> preparing -> agreed -> active -> superseded; or rejected, aborted, withdrawn. A member that
begins anew may bring checked back to proposed, and agreed back to preparing. Safety rests on nobody who leads: what is
not covered is refused here, the same at every member.
"""

from __future__ import annotations

from tealwing.record import CommandResult
from tealwing.rules import records
from tealwing.rules.coverage import is_covered, uncovered
from tealwing.rules.registry_state import Tables, accept, active, facts, in_flight
from tealwing.rules.transitions import closing, concluding, membership, proposing

__all__ = ["active", "apply", "facts", "in_flight", "is_covered", "uncovered"]


def apply(tables: Tables, index: int, body: records.Body) -> CommandResult:
    """Apply a command at its index of the log; the result says what was done, or why not."""
    match body:
        case records.Propose():
            return proposing.propose(tables, index, body)
        case records.Verdict():
            return proposing.verdict(tables, index, body)
        case records.Close():
            return closing.close(tables, index, body)
        case records.Closed():
            return closing.closed(tables, index, body)
        case records.Reports():
            for report in body.reports:
                apply(tables, index, report)
            return accept(index, index)
        case records.Activate():
            return concluding.activate(tables, index, body)
        case records.Abort():
            return concluding.abort(tables, index, body)
        case records.Withdraw():
            return concluding.withdraw(tables, index, body)
        case records.Begin():
            return membership.begin(tables, index, body)
        case records.ExpirePermit():
            return closing.expire_permit(tables, index, body)
        case records.ConfirmExpiry():
            return closing.confirm_expiry(tables, index, body)
        case records.Forget():
            return membership.forget(tables, index, body)
