"""The state machine of versions in the replicated log: applies each command to the three tables; pure.

proposed -> checked -> preparing -> agreed -> active -> superseded; or rejected, aborted, withdrawn. A member that
restarts may return a version from checked to proposed, or from agreed to preparing. Safety does not depend on the
leader: every member rejects the activation of a version that is not covered (see coverage).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tealwing.record import CommandResult
from tealwing.rules import records
from tealwing.rules.coverage import is_covered, uncovered
from tealwing.rules.registry_state import Tables, accept, active, facts, in_flight
from tealwing.rules.transitions import closing, concluding, membership, proposing

__all__ = ["active", "apply", "facts", "in_flight", "is_covered", "uncovered"]


def apply(tables: Tables, index: int, body: records.Body) -> CommandResult:
    """Apply the command at a log index; the result has the outcome, or the reason for a rejection."""
    return _HANDLERS[type(body)](tables, index, body)


def _apply_reports(tables: Tables, index: int, body: records.Reports) -> CommandResult:
    for report in body.reports:
        apply(tables, index, report)
    return accept(index, index)


_HANDLERS: dict[type[records.Body], Callable[[Tables, int, Any], CommandResult]] = {
    records.Propose: proposing.propose,
    records.Verdict: proposing.verdict,
    records.Close: closing.close,
    records.Closed: closing.closed,
    records.Reports: _apply_reports,
    records.Activate: concluding.activate,
    records.Abort: concluding.abort,
    records.Withdraw: concluding.withdraw,
    records.Begin: membership.begin,
    records.ExpirePermit: closing.expire_permit,
    records.ConfirmExpiry: closing.confirm_expiry,
    records.Forget: membership.forget,
}
