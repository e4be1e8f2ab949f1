"""Mutations of the registry: versions with a known fault, to show that the model of a rollout detects it."""

from __future__ import annotations

from msgspec import structs

from tealwing.lab.models.rollout_parts import Tables
from tealwing.rules import records as r
from tealwing.rules import registry, registry_state


def apply_with_fault(tables: Tables, index: int, body: r.Body, mutation: str) -> bool:
    """Apply a command to the registry, with the fault that `mutation` names; return whether it was accepted."""
    if mutation == "old-leader" and isinstance(body, r.Activate):
        found: r.Version | None = tables["rules"].get(str(body.number))
        if found is not None and found.phase == "preparing":
            registry_state.set_phase(tables, index, found, "agreed")
            tables["rule_members"].update(
                {name: _closed(member, body.number) for name, member in tables["rule_members"].items()}
            )
    flight = registry.in_flight(tables)
    if mutation == "begin-counts" and isinstance(body, r.Begin) and flight is not None:
        begun = registry.apply(tables, index, body).ok
        new = begun and tables["rule_members"][body.member].begin_index == index
        if new and body.partition_mode == "hold" and flight.phase in ("preparing", "agreed"):
            return registry.apply(tables, index, r.Closed(flight.number, body.member, body.start)).ok
        return begun
    if mutation == "one-clock" and isinstance(body, r.ConfirmExpiry):
        confirmation = r.ConfirmExpiry(body.member, body.expiry_index, "another")
        tables["rule_members"]["another"] = r.Member(1, "hold")
        registry.apply(tables, index, confirmation)
        del tables["rule_members"]["another"]
    return registry.apply(tables, index, body).ok


def _closed(member: r.Member, number: int) -> r.Member:
    return structs.replace(member, closed_for=number)
