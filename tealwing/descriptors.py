"""Divides the process's file descriptors among their users; no I/O. The platform limits their total.

Without a free descriptor (EMFILE) the operation that opens one fails: a client loses its connection, discovery its
engine list, a request its engine. Each user therefore has a share of its own, and the two users that grow with the
load, clients and engine connections, are bounded by the rest.
"""

from __future__ import annotations

from dataclasses import dataclass

STANDARD = 3  # standard input, output and error, which carry the log
LISTENING = 1  # the clients' listening socket
EPOLL = 4  # the epoll instances of clients and of engines, and both ends of the pipe that stops the clients' loop
DISCOVERY = 2  # a watch connection, and its successor while the kernel still closes the first
CONFIGURATION = 2  # the files that SIGHUP reloads: the configuration, and one file that it includes
KILL_RELAY = 2  # this process's inbox, and that of another process while a KILL is forwarded to it
ADMIN_LISTENING = 1
ADMIN_THREADS = 8  # admin callers served at once, one by each thread: further ones wait in the backlog
# for files that are opened briefly, by the interpreter, libraries, a debugger or the claim of a shared request id, and
# for connections being closed
MARGIN = 16
CLIENT_DIVISOR = 3  # clients hold at most 1/3 of the descriptors in regular operation
SPARE_DIVISOR = 10  # 1/10 of the clients' share more, for new clients while the longest idle one is evicted
MIN_ENGINE_CONNECTIONS = 4  # connections to engines that remain at the smallest limit
MIN_DESCRIPTORS = 64  # the smallest usable limit: a third for clients and a few for engines


@dataclass(frozen=True, slots=True)
class Budget:
    """The largest number of descriptors that each user may hold at once."""

    clients: int
    engines: int  # connections to all engines together, including those being established
    fixed: int  # all other descriptors, with the margin

    @property
    def total(self) -> int:
        """Number of all descriptors in the budget; never more than the limit."""
        return self.clients + self.engines + self.fixed


def budget(limit: int) -> Budget:
    """Divide a limit of at least MIN_DESCRIPTORS: clients get a third and a tenth of that more, engines the rest."""
    listening = LISTENING + ADMIN_LISTENING
    fixed = STANDARD + listening + EPOLL + DISCOVERY + CONFIGURATION + KILL_RELAY + ADMIN_THREADS + MARGIN
    clients = limit * (SPARE_DIVISOR + 1) // (SPARE_DIVISOR * CLIENT_DIVISOR)
    clients = min(clients, limit - fixed - MIN_ENGINE_CONNECTIONS)
    return Budget(clients, limit - fixed - clients, fixed)
