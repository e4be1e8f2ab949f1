"""Control calls about leases, and a task with which the test cluster exercises them."""

from __future__ import annotations

import time

from tealwing import log
from tealwing.conf import values
from tealwing.leases.manager import HeldLease, LeaseManager
from tealwing.peers.control import CallRejectedError, ControlClient, ControlServer, Fields, RemoteCallError, field

ACTION_INTERVAL = 0.02  # s between two actions of the test task
ACTION_TIMEOUT = 1.0  # s for one action of the test task on its resource


class Service:
    """The control calls about leases of one gateway; with `faults` also the call that the test cluster uses."""

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
            raise CallRejectedError(
                f"name: no lease {name!r} was ever granted, and this gateway wants none of that name"
            )
        return {"name": name, "lease": granted[0] if granted else None, "here": local[0] if local else None}

    def _run(self, fields: Fields) -> Fields:
        """Acquire a lease, and act on a resource of the test cluster while the lease is held.

        With `careless` the task continues after the loss of the lease, as a program that does not check it would; the
        resource must reject these actions.
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
    """Test task that acts on a resource repeatedly while its lease is valid."""

    def __init__(self, name: str, address: tuple[str, int], careless: bool) -> None:
        self._name, self._address, self._careless = name, address, careless

    def act(self, held: HeldLease) -> None:
        """Act until the lease is lost, or the resource rejects an action because it has seen a newer token."""
        client: ControlClient | None = None
        while held.valid() or self._careless:
            try:
                client = client or ControlClient(self._address)
                begun = time.monotonic()  # the machine's clock, which the resource uses too
                if not held.valid() and not self._careless:  # the lease may have ended during the connect
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
