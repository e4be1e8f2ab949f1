"""Who may hold how many of the process's descriptors; pure. The platform's limit is on all of them together.

A descriptor that is refused (EMFILE) costs whoever asks: a client its connection, discovery its list, a request its
engine. So each has a share that the others can't take, and what grows with the world outside, clients and engines'
connections, is bounded by what is left.
"""

from __future__ import annotations

from dataclasses import dataclass

STANDARD = 3  # standard input, output and error: the log
LISTENING = 1  # the clients' listening socket
WAITING = 4  # the epoll sets of clients and of engines, and the two ends of the pipe that ends the first
DISCOVERY = 2  # a watch, and the one that follows it while the kernel still closes the first
READING = 2  # the files that SIGHUP reads again: one, and one that it includes
ADMIN_LISTENING = 1
ADMIN_THREADS = 8  # callers of the admin address served at once, one a thread: further ones wait in its backlog
MARGIN = 16  # what the interpreter, libraries and a debugger open for a moment; and connections being closed
CLIENT_SHARE = 3  # usual clients hold at most one in so many descriptors
SPARE = 10  # one in so many of those more for who comes next while the longest idle one is evicted
MIN_ENGINE_CONNECTIONS = 4  # connections to engines that the smallest limit still has room for
MIN_DESCRIPTORS = 64  # descriptors with which a gateway can work at all: a third for clients and a few for engines


@dataclass(frozen=True, slots=True)
class Budget:
    """The most that each may hold at once."""

    clients: int
    engines: int  # connections to all engines together, those that are coming up among them
    fixed: int  # all others, with the margin

    @property
    def total(self) -> int:
        """All of it; never more than the limit."""
        return self.clients + self.engines + self.fixed


def budget(limit: int) -> Budget:
    """The shares of a limit of at least LEAST: clients a third and a tenth of that more, engines what is left."""
    fixed = STANDARD + LISTENING + WAITING + DISCOVERY + READING + ADMIN_LISTENING + ADMIN_THREADS + MARGIN
    clients = limit * (SPARE + 1) // (SPARE * CLIENT_SHARE)
    clients = min(clients, limit - fixed - MIN_ENGINE_CONNECTIONS)
    return Budget(clients, limit - fixed - clients, fixed)
