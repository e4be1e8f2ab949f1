"""The calls of the control address about leases, and the task with which the laboratory tries them."""

from __future__ import annotations

import time

from tealwing import log
from tealwing.conf import values
from tealwing.leases.keeper import Held, Keeper
from tealwing.peers.control import Caller, Control, Denied, Fields, Turned, field

ACT_EVERY = 0.02  # s between two actions of the laboratory's task
ACT_LIMIT = 1.0  # s that an action waits for the resource


class Service:
    """Answers for one gateway; where it takes faults, also the calls that a trial needs."""

    def __init__(self, keeper: Keeper, control: Control, faults: bool) -> None:
        self._keeper = keeper
        control.serve("lease.list", lambda _: keeper.status())
        control.serve("lease.show", self._show)
        if faults:
            control.serve("lease.run", self._run)

    def _show(self, fields: Fields) -> Fields:
        name = field(fields, "name", str)
        told = self._keeper.status()
        found = [lease for lease in told["leases"] if lease["name"] == name]
        here = [wanted for wanted in told["here"] if wanted["name"] == name]
        if not found and not here:
            raise Denied(f"name: no lease {name!r} has been granted or is wanted here")
        return {"name": name, "lease": found[0] if found else None, "here": here[0] if here else None}

    def _run(self, fields: Fields) -> Fields:
        """Want a lease, and act on a resource of the laboratory while it is held.

        `careless`: go on acting when it is lost, as a program without the check would; the resource must refuse it.
        """
        name, ttl = field(fields, "name", str), float(field(fields, "ttl_s", float, 2.0))
        careless = bool(field(fields, "careless", bool, False))
        try:
            address = values.address((field(fields, "resource", str),))
            task = _Task(name, address, careless)
            self._keeper.task(name, ttl, task.act)
        except ValueError as error:
            raise Denied(str(error)) from None
        return {}


class _Task:
    """Acts on the resource again and again while the lease is valid."""

    def __init__(self, name: str, address: tuple[str, int], careless: bool) -> None:
        self._name, self._address, self._careless = name, address, careless

    def act(self, held: Held) -> None:
        """Until it is lost, or the resource says that another's token is newer."""
        caller: Caller | None = None
        while held.valid() or self._careless:
            try:
                caller = caller or Caller(self._address)
                begun = time.monotonic()  # of the whole machine: the resource compares it with its own
                if not held.valid() and not self._careless:  # connecting took time
                    break
                told = caller.ask("act", ACT_LIMIT, name=self._name, token=held.token, begun=begun)
            except (Turned, OSError):
                if caller is not None:
                    caller.close()
                caller = None
                held.wait(ACT_EVERY)
                continue
            if not told["accepted"]:
                log.event("action_refused", name=self._name, token=held.token, newest=told["newest"])
                break
            if self._careless:
                time.sleep(ACT_EVERY)
            else:
                held.wait(ACT_EVERY)
        if caller is not None:
            caller.close()
