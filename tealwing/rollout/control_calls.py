"""ControlServer calls `rules.*`."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Any

from tealwing.peers.control import MAX_CONNECTIONS, CallRejectedError, ControlServer, Fields, field, wait_seconds
from tealwing.replica import commands as c
from tealwing.replica.messages import UnsignedInt63
from tealwing.replica.service.node import OutcomeUnknownError, Replica, UnavailableError
from tealwing.rollout.observed_state import ObservedState
from tealwing.rollout.runtime import Runtime
from tealwing.rollout.status import version_status
from tealwing.rules import records

WAIT = 5.0  # s, the default timeout of a call
APPLIED_POLL_INTERVAL = 0.005  # s
REMOVAL_POLL_INTERVAL = 0.05  # s


class ControlCalls:
    """Handlers of one gateway."""

    def __init__(self, runtime: Runtime, replica: Replica, control: ControlServer) -> None:
        self._runtime, self._replica = runtime, replica
        # the log that decides versions
        self._deciding_log = runtime.federation.replica if runtime.federation is not None else replica
        self._lock, self._sequence = threading.Lock(), 0
        calls: dict[str, Callable[[Fields], Fields]] = {
            "rules.propose": self._propose,
            "rules.status": lambda _: runtime.status(),
            "rules.show": self._show,
            "rules.withdraw": self._withdraw,
            "rules.forget": self._forget,
            "replica.settings": self._settings,
        }
        for name, call in calls.items():
            control.serve(name, call)

    def _propose(self, fields: Fields) -> Fields:
        """Propose a bundle, unless the local check finds faults."""
        text, who = field(fields, "text", bytes), field(fields, "who", records.Name)
        why = field(fields, "why", records.Text, "")
        parent = field(fields, "parent", UnsignedInt63) if "parent" in fields else None
        if len(text) > records.MAX_BUNDLE_BYTES:
            raise CallRejectedError(f"text: {len(text)} bytes; allowed: {records.MAX_BUNDLE_BYTES}")
        faults = self._runtime.rules.faults(text)
        if faults:
            raise CallRejectedError("text: " + "; ".join(faults))

        def propose(wait: float) -> Fields:
            end = time.monotonic() + wait
            made_from = parent
            if made_from is None:
                self._deciding_log.read_index(wait)
                made_from = self._deciding_state().facts.active_number
            body = records.Propose(made_from, records.digest(text), text, who, int(time.time() * 1e3), why)
            result = self._write(self._deciding_log, body, max(0.0, end - time.monotonic()))
            while (
                self._deciding_state().index < result["index"] and time.monotonic() < end
            ):  # so that a following status call shows it
                time.sleep(APPLIED_POLL_INTERVAL)
            return result | {"number": result.pop("version")}

        return self._outcome(propose, fields)

    def _settings(self, _: Fields) -> Fields:
        raise CallRejectedError("replica.settings: the section rules is on here, and settings are part of the rules;"
                     " propose a version: tealwing rules propose FILE --control HOST:PORT --why TEXT")  # fmt: skip

    def _show(self, fields: Fields) -> Fields:
        number = field(fields, "number", UnsignedInt63)
        found = self._runtime.observed.version(number)
        if found is None:
            available = ", ".join(sorted(self._runtime.observed.tables["rules"], key=int)) or "none yet"
            raise CallRejectedError(f"number: no version {number} is kept here; allowed: {available}")
        return version_status(found) | {"text": found.text.decode("utf-8", "replace")}

    def _withdraw(self, fields: Fields) -> Fields:
        body = records.Withdraw(
            field(fields, "number", UnsignedInt63), field(fields, "who", records.Name),
            field(fields, "why", records.Text, ""),
        )  # fmt: skip
        return self._outcome(lambda wait: self._write(self._deciding_log, body, wait), fields)

    def _forget(self, fields: Fields) -> Fields:
        """Remove a member, or a federation's site; wait until all its permits have expired."""
        body = records.Forget(field(fields, "member", records.Name), bool(field(fields, "off", bool, False)))

        federation = self._runtime.federation
        is_site = federation is not None and body.member in federation.state.members
        where, state = (
            (self._deciding_log, self._deciding_state) if is_site else (self._replica, lambda: self._runtime.observed)
        )

        def forget(wait: float) -> Fields:
            end = time.monotonic() + wait
            result = self._write(where, body, wait)
            while result["word"] == "ok" and body.member in state().members:
                if time.monotonic() >= end:
                    return result | {
                        "word": "unknown",
                        "why": f"{body.member} goes once its permits are over: ask again",
                    }
                time.sleep(REMOVAL_POLL_INTERVAL)
            return result

        return self._outcome(forget, fields)

    def _deciding_state(self) -> ObservedState:
        """Return the registry that decides versions: the federation's, if the site is part of one."""
        return self._runtime.federation.state if self._runtime.federation is not None else self._runtime.observed

    def _write(self, where: Replica, body: records.Body, wait: float) -> dict[str, Any]:
        """Write a command so that it is applied at most once, however often it is sent."""
        with self._lock:
            self._sequence += 1
            number = self._sequence
        turn = number % MAX_CONNECTIONS  # calls are concurrent, and a client id allows one at a time
        client = f"{where.core.local_id}/{where.incarnation}/rules/{turn}"
        result = where.write(c.Command(client, number, body), wait)
        outcome = "ok" if result.ok else "refused"
        return {"word": outcome, "index": result.index, "version": result.version, "why": result.reason}

    def _outcome(self, run: Callable[[float], Fields], fields: Fields) -> Fields:
        """Run a call; the key `word` is ok, refused (by the state), unavailable (surely not done) or unknown."""
        try:
            return {"word": "ok"} | run(wait_seconds(fields, WAIT))
        except UnavailableError as error:
            return {"word": "unavailable", "why": f"{error}; nothing was changed: try again, or at another gateway"}
        except OutcomeUnknownError as error:
            return {"word": "unknown", "why": f"{error}; see rules.status for whether it was taken"}
        except ValueError as error:
            raise CallRejectedError(str(error)) from None
