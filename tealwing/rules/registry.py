"""The machine of versions in the replicated log: what each command does to its three tables; pure.

proposed -> checked -> preparing -> agreed -> active -> superseded; or rejected, aborted, withdrawn. A member that
begins anew may bring checked back to proposed, and agreed back to preparing. Safety rests on nobody who leads: what is
not covered is refused here, the same at every member.
"""

from __future__ import annotations

from tealwing.record import CommandResult
from tealwing.rules import closing, deciding, members, proposing, records
from tealwing.rules.cover import covered, uncovered
from tealwing.rules.kept import Tables, accept, active, facts, in_flight

__all__ = ["active", "apply", "covered", "facts", "in_flight", "uncovered"]


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
            return deciding.activate(tables, index, body)
        case records.Abort():
            return deciding.abort(tables, index, body)
        case records.Withdraw():
            return deciding.withdraw(tables, index, body)
        case records.Begin():
            return members.begin(tables, index, body)
        case records.ExpirePermit():
            return closing.expire_permit(tables, index, body)
        case records.ConfirmExpiry():
            return closing.confirm_expiry(tables, index, body)
        case records.Forget():
            return members.forget(tables, index, body)
