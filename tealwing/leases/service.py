"""The calls of the control address about leases, and the task with which the laboratory tries them."""

from __future__ import annotations

import time

from tealwing import log
from tealwing.conf import values
from tealwing.leases.manager import HeldLease, LeaseManager
from tealwing.peers.control import CallRejectedError, ControlClient, ControlServer, Fields, RemoteCallError, field

ACTION_INTERVAL = 0.02  # s between two actions of the laboratory's task
ACTION_TIMEOUT = 1.0  # s that an action waits for the resource


class Service:
    """Answers for one gateway; where it takes faults, also the calls that a trial needs."""

    def __init__(self, manager: LeaseManager, control: ControlServer, faults: bool) -> None:
        self._manager = manager
        control.serve("lease.list", lambda _: manager.status())
        control.serve("lease.show", self._show)
        if faults:
            control.serve("lease.run", self._run)

    def _show(self, fields: Fields) -> Fields:
        name = field(fields, "name", str)
        status = self._manager.status()
        granted = [lease for lease in status["leases"] if lease["name"] == name]
        local = [lease for lease in status["here"] if lease["name"] == name]
        if not granted and not local:
            raise CallRejectedError(f"name: no lease {name!r} has been granted or is wanted here")
        return {"name": name, "lease": granted[0] if granted else None, "here": local[0] if local else None}

    def _run(self, fields: Fields) -> Fields:
        """Want a lease, and act on a resource of the laboratory while it is held.

        `careless`: go on acting when it is lost, as a program without the check would; the resource must refuse it.
        """
        name, ttl = field(fields, "name", str), float(field(fields, "ttl_s", float, 2.0))
        careless = bool(field(fields, "careless", bool, False))
        try:
            address = values.address((field(fields, "resource", str),))
            task = _FencedTask(name, address, careless)
            self._manager.task(name, ttl, task.act)
        except ValueError as error:
            raise CallRejectedError(str(error)) from None
        return {}


class _FencedTask:
    """Acts on the resource again and again while the lease is valid."""

    def __init__(self, name: str, address: tuple[str, int], careless: bool) -> None:
        self._name, self._address, self._careless = name, address, careless

    def act(self, held: HeldLease) -> None:
        """Until it is lost, or the resource says that another's token is newer."""
        client: ControlClient | None = None
        while held.valid() or self._careless:
            try:
                client = client or ControlClient(self._address)
                begun = time.monotonic()  # of the whole machine: the resource compares it with its own
                if not held.valid() and not self._careless:  # connecting took time
                    break
                answer = client.call("act", ACTION_TIMEOUT, name=self._name, token=held.token, begun=begun)
            except (RemoteCallError, OSError):
                if client is not None:
                    client.close()
                client = None
                held.wait(ACTION_INTERVAL)
                continue
            if not answer["accepted"]:
                log.event("fenced_action_rejected", name=self._name, token=held.token, newest=answer["newest"])
                break
            if self._careless:
                time.sleep(ACTION_INTERVAL)
            else:
                held.wait(ACTION_INTERVAL)
        if client is not None:
            client.close()
