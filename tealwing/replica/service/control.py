"""Control calls for the replicated state: status, verification, membership, settings, commands and reads."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from tealwing import wire
from tealwing.peers.control import CallRejectedError, ControlServer, Fields, field, wait_seconds
from tealwing.replica import commands as c
from tealwing.replica.service.node import OutcomeUnknownError, Replica, UnavailableError
from tealwing.replica.storage.store import verify
from tealwing.rules import records

DEFAULT_TIMEOUT = 5.0  # s for a call that gives no timeout


class ReplicaControl:
    """Handlers of the control calls for one member of the replicated log."""

    def __init__(self, replica: Replica, control: ControlServer, prefix: str = "replica") -> None:
        """Register the handlers.

        `prefix` is prepended to the names of the calls, so that one process can serve two groups.
        """
        self._replica = replica
        calls: dict[str, Callable[[Fields], Fields]] = {
            "status": lambda _: replica.status(),
            "digest": self._digest,
            "verify": self._verify,
            "snapshot": self._snapshot,
            "members": self._members,
            "recovery": lambda _: replica.recovery.report(replica.observe(), replica.trust_report),
            "settings": self._settings,
            "do": self._apply_command,
            "get": self._get,
        }
        for name, call in calls.items():
            control.serve(f"{prefix}.{name}", call)

    def _digest(self, _: Fields) -> Fields:
        applied, digest = self._replica.digest()
        return {"applied": applied, "digest": digest}

    def _verify(self, _: Fields) -> Fields:
        """Check the files in the storage directory and return the problems found."""
        return {"folder": self._replica.plan.directory, "found": verify(self._replica.storage.directory)}

    def _snapshot(self, _: Fields) -> Fields:
        self._replica.snapshot()
        return {"applied": self._replica.state.applied}

    def _members(self, fields: Fields) -> Fields:
        """Change the membership: `add` adds a voter or promotes a learner, `learn` adds a learner, `remove` removes."""
        change, name = field(fields, "change", str), field(fields, "name", str)
        voters, learners = set(self._replica.core.members), set(self._replica.core.learners)
        if change not in ("add", "learn", "remove"):
            raise CallRejectedError(f"change: {change!r}; allowed: add, learn or remove")
        current = {"add": voters, "learn": learners, "remove": voters | learners}[change]
        if (name in current) == (change != "remove"):
            raise CallRejectedError(f"name: {name} is {'no member' if change == 'remove' else 'a member already'}")
        if change != "remove" and self._replica.plan_address(name) is None:
            raise CallRejectedError(f"name: {name} has no member line in the section peers here")
        new_voters, new_learners = voters - {name}, learners - {name}
        {"add": new_voters, "learn": new_learners}.get(change, set()).add(name)
        # without learners before and after the change, the request has the form that older builds send
        changed_learners = sorted(new_learners) if new_learners or learners else None
        outcome = self._outcome(
            lambda wait: {"index": self._replica.change_members(sorted(new_voters), wait, changed_learners)}, fields
        )
        return outcome | {"members": sorted(new_voters), "learners": sorted(new_learners)}

    def _settings(self, fields: Fields) -> Fields:
        """Validate and propose the next version of the settings; `unavailable` until this gateway has caught up."""
        text = field(fields, "text", bytes)
        if not self._replica.recovery.may_change:
            return {"word": "unavailable", "why": self._replica.recovery.reason(self._replica.observe())}
        try:
            wire.parse_settings(text)
        except (ValueError, wire.WireError) as error:
            raise CallRejectedError(f"text: {error}") from None

        def propose(wait: float) -> Fields:
            with self._replica.lock:
                last = max(map(int, self._replica.state.tables["settings"]), default=0)
            return _result_fields(self._replica.write(c.Command("", 0, c.Settings(last + 1, text)), wait))

        return self._outcome(propose, fields)

    def _apply_command(self, fields: Fields) -> Fields:
        """Propose a command and return its result; `body` is one of tealwing.replica.commands, as msgpack."""
        try:
            body = msgspec.msgpack.decode(field(fields, "body", bytes), type=c.Body)
        except msgspec.DecodeError as error:
            raise CallRejectedError(f"body: {error}") from None
        if isinstance(body, records.Body):  # only the reporting member itself may propose commands for rules versions
            raise CallRejectedError("body: commands for rules versions are rejected here; allowed: the calls rules.*")
        fence = None
        if "token" in fields:
            fence = c.Fence(field(fields, "lease", str), field(fields, "token", int))
        command = c.Command(field(fields, "client", str, ""), field(fields, "sequence", int, 0), body, fence)
        if command.sequence and not command.client:
            raise CallRejectedError(f"client: missing; required with the sequence {command.sequence}")
        return self._outcome(lambda wait: _result_fields(self._replica.write(command, wait)), fields)

    def _get(self, fields: Fields) -> Fields:
        """Return the value of a key in a table: a linearizable read, or with `stale` the local value, marked so."""
        table, key = field(fields, "table", str, "values"), field(fields, "key", str)
        if table not in self._replica.state.tables:
            raise CallRejectedError(f"table: {table!r}; allowed: {', '.join(sorted(self._replica.state.tables))}")
        stale = bool(field(fields, "stale", bool, False))

        def get(wait: float) -> Fields:
            if not stale:
                self._replica.read_index(wait)
            with self._replica.lock:
                state = self._replica.state
                value, applied = state.tables[table].get(key), state.applied
            return {"found": value is not None, "value": msgspec.to_builtins(value, builtin_types=(bytes,)),
                    "applied": applied, "stale": stale}  # fmt: skip

        return self._outcome(get, fields)

    def _outcome(self, run: Callable[[float], Fields], fields: Fields) -> Fields:
        """Run a call and return its fields with the status: ok, refused (by the state), unavailable or unknown."""
        try:
            return {"word": "ok"} | run(wait_seconds(fields, DEFAULT_TIMEOUT))
        except UnavailableError as error:
            return {"word": "unavailable", "why": str(error)}
        except OutcomeUnknownError as error:
            return {"word": "unknown", "why": str(error)}
        except ValueError as error:
            raise CallRejectedError(str(error)) from None


def _result_fields(result: c.CommandResult) -> dict[str, Any]:
    status = "ok" if result.ok else "refused"
    return {"word": status, "index": result.index, "version": result.version, "why": result.reason}
