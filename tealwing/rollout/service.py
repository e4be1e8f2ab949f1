"""The calls of the control address about versions of the rules."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Any

from tealwing.peers.control import MOST_CALLERS, Control, Denied, Fields, field, wait_of
from tealwing.replica import commands as c
from tealwing.replica.messages import UnsignedInt63
from tealwing.replica.service.node import OutcomeUnknownError, Replica, UnavailableError
from tealwing.rollout.outcomes import version
from tealwing.rollout.seen import Seen
from tealwing.rollout.shell import Shell
from tealwing.rules import bundle, records

WAIT = 5.0  # s that a call waits where it does not say
SOON = 0.005  # s between two looks whether an entry has been applied here
LOOK = 0.05  # s between two looks whether a member has gone


class Service:
    """Answers for one gateway."""

    def __init__(self, shell: Shell, replica: Replica, control: Control) -> None:
        self._shell, self._replica = shell, replica
        self._changes = shell.outside.replica if shell.outside is not None else replica  # the log that decides
        self._lock, self._sequence = threading.Lock(), 0
        calls: dict[str, Callable[[Fields], Fields]] = {
            "rules.propose": self._propose,
            "rules.status": lambda _: shell.status(),
            "rules.show": self._show,
            "rules.withdraw": self._withdraw,
            "rules.forget": self._forget,
            "replica.settings": self._settings,
        }
        for name, call in calls.items():
            control.serve(name, call)

    def _propose(self, fields: Fields) -> Fields:
        """Propose a bundle; what is wrong with it here is told at once, and nothing is proposed."""
        text, who = field(fields, "text", bytes), field(fields, "who", records.Word)
        why = field(fields, "why", records.Text, "")
        parent = field(fields, "parent", UnsignedInt63) if "parent" in fields else None
        if len(text) > records.LARGEST:
            raise Denied(f"text: {len(text)} bytes; allowed: {records.LARGEST}")
        faults = self._shell.here.faults(text)
        if faults:
            raise Denied("text: " + "; ".join(faults))

        def propose(wait: float) -> Fields:
            end = time.monotonic() + wait
            made_from = parent
            if made_from is None:
                self._changes.read_index(wait)
                made_from = self._deciding().facts.active
            body = records.Propose(made_from, bundle.digest(text), text, who, int(time.time() * 1e3), why)
            told = self._write(self._changes, body, max(0.0, end - time.monotonic()))
            while self._deciding().index < told["index"] and time.monotonic() < end:  # who asks for it next finds it
                time.sleep(SOON)
            return told | {"number": told.pop("version")}

        return self._outcome(propose, fields)

    def _settings(self, _: Fields) -> Fields:
        raise Denied("replica.settings: the section rules is on here, and settings are part of the rules;"
                     " propose a version: tealwing rules propose FILE --control HOST:PORT --why TEXT")  # fmt: skip

    def _show(self, fields: Fields) -> Fields:
        number = field(fields, "number", UnsignedInt63)
        found = self._shell.seen.version(number)
        if found is None:
            kept = ", ".join(sorted(self._shell.seen.tables["rules"], key=int)) or "none yet"
            raise Denied(f"number: no version {number} is kept here; allowed: {kept}")
        return version(found) | {"text": found.text.decode("utf-8", "replace")}

    def _withdraw(self, fields: Fields) -> Fields:
        body = records.Withdraw(
            field(fields, "number", UnsignedInt63), field(fields, "who", records.Word),
            field(fields, "why", records.Text, ""),
        )  # fmt: skip
        return self._outcome(lambda wait: self._write(self._changes, body, wait), fields)

    def _forget(self, fields: Fields) -> Fields:
        """Take a member out, or a federation's site; waits until every permit that it may have is over."""
        body = records.Forget(field(fields, "member", records.Word), bool(field(fields, "off", bool, False)))

        outside = self._shell.outside
        is_site = outside is not None and body.member in outside.seen.members
        where, seen = (self._changes, self._deciding) if is_site else (self._replica, lambda: self._shell.seen)

        def forget(wait: float) -> Fields:
            end = time.monotonic() + wait
            told = self._write(where, body, wait)
            while told["word"] == "ok" and body.member in seen().members:
                if time.monotonic() >= end:
                    return told | {"word": "unknown", "why": f"{body.member} goes once its permits are over: ask again"}
                time.sleep(LOOK)
            return told

        return self._outcome(forget, fields)

    def _deciding(self) -> Seen:
        """The registry in which changes are decided: the federation's, where this site takes part in one."""
        return self._shell.outside.seen if self._shell.outside is not None else self._shell.seen

    def _write(self, where: Replica, body: records.Body, wait: float) -> dict[str, Any]:
        """Have it applied once, however often it is sent."""
        with self._lock:
            self._sequence += 1
            number = self._sequence
        turn = number % MOST_CALLERS  # calls come at once, and a client has one under way
        client = f"{where.core.local_id}/{where.incarnation}/rules/{turn}"
        result = where.write(c.Command(client, number, body), wait)
        word = "ok" if result.ok else "refused"
        return {"word": word, "index": result.index, "version": result.version, "why": result.reason}

    def _outcome(self, run: Callable[[float], Fields], fields: Fields) -> Fields:
        """What came of it, in a word: ok, refused (by the state), unavailable (surely not done), unknown."""
        try:
            return {"word": "ok"} | run(wait_of(fields, WAIT))
        except UnavailableError as error:
            return {"word": "unavailable", "why": f"{error}; nothing was changed: try again, or at another gateway"}
        except OutcomeUnknownError as error:
            return {"word": "unknown", "why": f"{error}; see rules.status for whether it was taken"}
        except ValueError as error:
            raise Denied(str(error)) from None
