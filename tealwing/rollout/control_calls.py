"""Handlers of the control calls `rules.*`, and of `replica.settings`, which they replace."""

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

DEFAULT_TIMEOUT = 5.0  # s, of a call
APPLIED_POLL_INTERVAL = 0.005  # s
REMOVAL_POLL_INTERVAL = 0.05  # s


class ControlCalls:
    """The handlers of one gateway."""

    def __init__(self, runtime: Runtime, replica: Replica, control: ControlServer) -> None:
        self._runtime, self._replica = runtime, replica
        # the log that decides versions: the federation's, if the site is part of one
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
        """Propose a bundle, unless it is invalid; wait until the local state shows it."""
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
            parent_number = parent
            if parent_number is None:
                self._deciding_log.read_index(wait)
                parent_number = self._deciding_state().facts.active_number
            body = records.Propose(parent_number, records.digest(text), text, who, int(time.time() * 1e3), why)
            result = self._write(self._deciding_log, body, max(0.0, end - time.monotonic()))
            # so that a status call after this one shows the version
            while self._deciding_state().index < result["index"] and time.monotonic() < end:
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
        """Remove a member, or a site of the federation; wait until its permits have expired and it is removed."""
        body = records.Forget(field(fields, "member", records.Name), bool(field(fields, "off", bool, False)))

        federation = self._runtime.federation
        is_site = federation is not None and body.member in federation.state.members
        log, state = (
            (self._deciding_log, self._deciding_state) if is_site else (self._replica, lambda: self._runtime.observed)
        )

        def forget(wait: float) -> Fields:
            end = time.monotonic() + wait
            result = self._write(log, body, wait)
            while result["word"] == "ok" and body.member in state().members:
                if time.monotonic() >= end:
                    return result | {
                        "word": "unknown",
                        "why": f"{body.member} is removed once its permits have expired: call again",
                    }
                time.sleep(REMOVAL_POLL_INTERVAL)
            return result

        return self._outcome(forget, fields)

    def _deciding_state(self) -> ObservedState:
        """Return the state of the log that decides versions."""
        return self._runtime.federation.state if self._runtime.federation is not None else self._runtime.observed

    def _write(self, log: Replica, body: records.Body, wait: float) -> dict[str, Any]:
        """Write a command with a client id and sequence, so that it is applied at most once even if it is resent."""
        with self._lock:
            self._sequence += 1
            number = self._sequence
        slot = number % MAX_CONNECTIONS  # calls are concurrent, and a client id allows one command at a time
        client = f"{log.core.local_id}/{log.incarnation}/rules/{slot}"
        result = log.write(c.Command(client, number, body), wait)
        outcome = "ok" if result.ok else "refused"
        return {"word": outcome, "index": result.index, "version": result.version, "why": result.reason}

    def _outcome(self, run: Callable[[float], Fields], fields: Fields) -> Fields:
        """Run a call; its `word` is ok, refused (by the registry), unavailable (nothing was done) or unknown."""
        try:
            return {"word": "ok"} | run(wait_seconds(fields, DEFAULT_TIMEOUT))
        except UnavailableError as error:
            return {"word": "unavailable", "why": f"{error}; nothing was changed: retry, here or at another gateway"}
        except OutcomeUnknownError as error:
            return {"word": "unknown", "why": f"{error}; rules.status shows whether the command was applied"}
        except ValueError as error:
            raise CallRejectedError(str(error)) from None
