"""Delays in the simulation: of the network, the disks and a gateway's processor; pure. All durations are in s."""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random


@dataclass(frozen=True, slots=True)
class Costs:
    """The cost model. A gateway runs one thread at a time, as the interpreter does; a disk sync blocks no other thread.

    A message: encoding an AppendEntries with one command and writing it to a socket takes 3 us of the sender's time,
    decoding it 1 us. With the link's two threads, their wake-ups and the core, `message` is twenty times that at either
    end, so that a leader that sends to many members is not favoured. An entry: applying a Verdict with all that the
    runtime checks after it takes 36 us with 5 members in the table and 50 us with 200.
    """

    near: float = 0.0002  # one-way delay within a site: the median of a lognormal distribution
    near_spread: float = 0.5  # standard deviation of its logarithm
    far: float = 0.02  # one-way delay between sites: the median
    far_spread: float = 0.05
    loss: float = 0.01  # share of messages that are lost
    sync: float = 0.001  # of a disk: the median of a lognormal distribution
    sync_spread: float = 0.7
    message: float = 60e-6  # of the sender's time per message, and as much of the receiver's
    entry: float = 35e-6  # to apply an entry
    entry_member: float = 0.08e-6  # in addition, per command of the entry and member in the table
    check: float = 0.001  # to check a bundle
    enforce: float = 0.001  # to put a bundle in force

    def delay(self, random: Random, far: bool) -> float:
        """Draw the network delay of one message."""
        if far:
            return self.far * math.exp(random.gauss(0.0, self.far_spread))
        return self.near * math.exp(random.gauss(0.0, self.near_spread))

    def applying(self, members: int, message_count: int) -> float:
        """Return the time to apply an entry with `message_count` commands, with `members` members in the table."""
        return self.entry + self.entry_member * members * message_count

    def disk(self, random: Random) -> float:
        """Draw the time of one disk sync."""
        return self.sync * math.exp(random.gauss(0.0, self.sync_spread))
