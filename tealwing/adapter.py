"""The process loop: batches on standard input, replies on standard output. It decides nothing."""

from __future__ import annotations

import sys
import traceback
from typing import BinaryIO

from tealwing import wire
from tealwing.policy import Gateway


class Host:
    """All gateways of one process, by instance number."""

    def __init__(self) -> None:
        self.decoder = wire.Decoder()
        self.gateways: dict[int, Gateway] = {}

    def reply(self, now: float, count: int, body: bytes) -> bytes:
        """The reply to one batch."""
        records: list[bytes] = []
        for instance, event in self.decoder.events(body, count):
            if isinstance(event, wire.Init):
                self.gateways[instance] = Gateway(wire.settings(event.facts), event.seed)
            elif isinstance(event, wire.Teardown):
                self.gateways.pop(instance, None)
            elif instance not in self.gateways:
                raise wire.WireError(f"instance {instance} has not begun")
            else:
                try:
                    actions = self.gateways[instance].handle(now, event)
                    records += [wire.encode(instance, action) for action in actions]
                except Exception:
                    records.append(wire.bug(instance, traceback.format_exc(limit=-3)))
        return wire.reply(records)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    while (batch := wire.read_batch(source)) is not None:
        sink.write(host.reply(*batch))
        sink.flush()


def main() -> int:
    """Serve standard input; bad input ends it with one line on standard error."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (wire.WireError, ValueError) as error:
        print(f"tealwing: {' '.join(str(error).split())}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
