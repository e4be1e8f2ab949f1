"""What things take in the laboratory: the network, disks, and a gateway's own time; pure. All durations are seconds."""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random


@dataclass(frozen=True, slots=True)
class Costs:
    """A gateway does one thing at a time, as the interpreter does; while a disk syncs, its other threads go on.

    A message: encoding an `Append` of one word and writing it to a socket was measured as 3 us of the sender's time,
    decoding it as 1 us; with the link's two threads, their wake-ups and the core it is taken as twenty times that, at
    either end, so that a leader that sends to many is not flattered. An entry: applying a `Verdict` with all that the
    shell looks at after it was measured as 36 us with 5 members in the table and 50 us with 200.
    """

    near: float = 0.0002  # within a site, one way: the median of a lognormal
    near_spread: float = 0.5  # sigma of its logarithm
    far: float = 0.02  # between sites, one way
    far_spread: float = 0.05
    loss: float = 0.01  # share of messages that never come
    sync: float = 0.001  # of a disk: the median of a lognormal
    sync_spread: float = 0.7
    message: float = 60e-6  # of the sender's time, and as much of the receiver's
    entry: float = 35e-6  # to apply one
    entry_member: float = 0.08e-6  # more for each member in the table
    check: float = 0.001  # of a bundle, by a gateway
    enforce: float = 0.001  # a bundle, put in force

    def delay(self, random: Random, far: bool) -> float:
        """Of one message on its way."""
        if far:
            return self.far * math.exp(random.gauss(0.0, self.far_spread))
        return self.near * math.exp(random.gauss(0.0, self.near_spread))

    def applying(self, members: int, message_count: int) -> float:
        """Of one entry with so many words, where so many members are in the table."""
        return self.entry + self.entry_member * members * message_count

    def disk(self, random: Random) -> float:
        """Of one sync."""
        return self.sync * math.exp(random.gauss(0.0, self.sync_spread))
