"""The simulator's adapter: reads batches from standard input and writes replies to standard output.

If TEALWING_CONF names an operators' file, its service levels apply to the instances as they do to a real gateway.
"""

from __future__ import annotations

import os
import sys
import traceback
from typing import TYPE_CHECKING, Any, BinaryIO

from tealwing import interface as api
from tealwing import wire
from tealwing.policy import Gateway

if TYPE_CHECKING:  # at run time, imported only if TEALWING_CONF is set
    from tealwing.levels.governor import Governor
    from tealwing.levels.plan import Plan


class Host:
    """All gateways of one process, by instance number."""

    def __init__(self, plan: Plan | None = None) -> None:
        self.decoder, self._plan = wire.Decoder(), plan
        self.gateways: dict[int, Gateway | Governor] = {}
        self._level_logs: list[str] = []  # log lines about level changes that the current event caused

    def _new_gateway(self, settings: api.Settings, seed: int) -> Gateway | Governor:
        gateway = Gateway(settings, seed)
        if self._plan is None:
            return gateway
        from tealwing.levels.governor import Governor

        def log(name: str, fields: dict[str, Any]) -> None:
            self._level_logs.append(f"{name} {fields}")

        return Governor(settings, gateway, self._plan, log)

    def reply(self, now: float, count: int, body: bytes) -> bytes:
        """Return the reply to one batch; raise WireError or ValueError for invalid input."""
        records: list[bytes] = []
        for instance, event in self.decoder.events(body, count):
            if isinstance(event, wire.Init):
                self.gateways[instance] = self._new_gateway(wire.parse_settings(event.settings_json), event.seed)
            elif isinstance(event, wire.Teardown):
                self.gateways.pop(instance, None)
            elif instance not in self.gateways:
                raise wire.WireError(f"unknown instance {instance}: an INIT record must start it first")
            else:
                try:
                    actions = self.gateways[instance].handle(now, event)
                    actions += [api.Log(text) for text in self._level_logs]
                    self._level_logs.clear()
                    records += [wire.encode(instance, action) for action in actions]
                except Exception:
                    records.append(wire.bug(instance, traceback.format_exc(limit=-3)))
        return wire.reply(records)


def serve(source: BinaryIO, sink: BinaryIO, plan: Plan | None = None) -> None:
    """Reply to each batch of source on sink until the input ends."""
    host = Host(plan)
    while (batch := wire.read_batch(source)) is not None:
        sink.write(host.reply(*batch))
        sink.flush()


def main() -> int:
    """Serve standard input and return the exit code: 1, with one line on standard error, after invalid input."""
    try:
        plan = None
        if conf := os.environ.get("TEALWING_CONF"):
            from tealwing.conf import reader

            plan = reader.read(conf).records.get("levels")
        serve(sys.stdin.buffer, sys.stdout.buffer, plan)
    except (wire.WireError, ValueError) as error:
        print(f"tealwing: {' '.join(str(error).split())}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
