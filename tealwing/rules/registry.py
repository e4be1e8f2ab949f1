"""The machine of versions in the replicated log: what each command does to its three tables; pure.

proposed -> checked -> preparing -> agreed -> active -> superseded; or rejected, aborted, withdrawn. A member that
begins anew may bring checked back to proposed, and agreed back to preparing. Safety rests on nobody who leads: what is
not covered is refused here, the same at every member.
"""

from __future__ import annotations

from tealwing.record import CommandResult
from tealwing.rules import closing, deciding, members, proposing, records
from tealwing.rules.cover import covered, uncovered
from tealwing.rules.kept import Tables, active, facts, in_flight, yes

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
        case records.Words():
            for word in body.words:
                apply(tables, index, word)
            return yes(index, index)
        case records.Activate():
            return deciding.activate(tables, index, body)
        case records.Abort():
            return deciding.abort(tables, index, body)
        case records.Withdraw():
            return deciding.withdraw(tables, index, body)
        case records.Begin():
            return members.begin(tables, index, body)
        case records.Lapse():
            return closing.lapse(tables, index, body)
        case records.Witness():
            return closing.witness(tables, index, body)
        case records.Forget():
            return members.forget(tables, index, body)
