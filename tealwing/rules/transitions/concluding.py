"""The outcome of a version: active, aborted or withdrawn; pure. Each is checked, regardless of its proposer."""

from __future__ import annotations

from tealwing.log import check_invariant
from tealwing.record import CommandResult
from tealwing.rules import registry_state
from tealwing.rules.coverage import uncovered
from tealwing.rules.records import IN_FLIGHT, Abort, Activate, Facts, Version, Withdraw
from tealwing.rules.registry_state import Tables, accept, reject


def activate(tables: Tables, index: int, body: Activate) -> CommandResult:
    """Put an agreed version in force; rejected while any member may still decide under an older one."""
    found = registry_state.version(tables, body.number)
    if found is None or found.phase != "agreed":
        return reject(index, f"version {body.number} is {found.phase if found else 'unknown'}, not agreed", body.number)
    missing = uncovered(tables, body.number)
    check_invariant(not missing, "every member is covered once a version is agreed")
    if missing:
        return reject(index, f"version {body.number} is not closed for at {', '.join(missing)}", body.number)
    if found.federated and not body.federation_index:
        return reject(index, _decided_by_federation(found), body.number)
    current, before = registry_state.facts(tables), registry_state.active(tables)
    if before is not None:
        registry_state.set_phase(tables, index, before, "superseded", federation_index=before.federation_index)
    registry_state.set_phase(tables, index, found, "active", federation_index=body.federation_index)
    tables["rule_facts"]["now"] = Facts(current.last_number, body.number)
    registry_state.trim(tables)
    return accept(index, body.number)


def abort(tables: Tables, index: int, body: Abort) -> CommandResult:
    """Abort a version; members that have closed reopen under the version in force."""
    found = registry_state.version(tables, body.number)
    if found is None or found.phase not in IN_FLIGHT:
        return reject(index, f"version {body.number} is {found.phase if found else 'unknown'}", body.number)
    if found.federated and not body.federation_index:
        return reject(index, _decided_by_federation(found), body.number)
    registry_state.set_phase(tables, index, found, "aborted", body.reason, body.federation_index)
    return accept(index, body.number)


def withdraw(tables: Tables, index: int, body: Withdraw) -> CommandResult:
    """Withdraw a version on an operator's request, before any member closes for it."""
    found = registry_state.version(tables, body.number)
    if found is None or found.phase not in ("proposed", "checked"):
        phase = found.phase if found else "unknown"
        return reject(index, f"version {body.number} is {phase}: it can be withdrawn until members close", body.number)
    if found.federated:
        return reject(index, _decided_by_federation(found), body.number)
    registry_state.set_phase(tables, index, found, "withdrawn", f"{body.author}: {body.reason}")
    return accept(index, body.number)


def _decided_by_federation(found: Version) -> str:
    return f"version {found.number} is decided in the federation's log and not here"
