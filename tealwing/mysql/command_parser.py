"""The parser of one session, which reserves memory for what it holds and for the open request."""

from __future__ import annotations

from collections.abc import Callable

from tealwing.memory import Account, Reservation
from tealwing.mysql import packets

COMMAND_COPIES = 2  # of a command that exist at once: as received or sent on, and while it is copied
UNRESERVED_BYTES = 4 * 1024  # bytes of a command that need no reservation: a place in the budget of each client

Reserve = Callable[[Reservation, int], bool]  # resizes a reservation; returns whether it fits


class CommandParser(packets.Parser):
    """Splits a session's input into commands; for the thread that serves it, or any under its lock."""

    def __init__(self, account: Account, reserve: Reserve) -> None:
        """Reserve of the account by `reserve`, which may make room; at first, only a login is accepted."""
        super().__init__(packets.MAX_LOGIN_BYTES)
        self._reservation, self._reserve = Reservation(account), reserve

    @property
    def has_reservation(self) -> bool:
        """Whether memory is reserved."""
        return self._reservation.size > 0

    def accept_commands(self) -> None:
        """Accept commands, as the client has logged in."""
        self.max_message_bytes = packets.MAX_MESSAGE_BYTES

    def next_message(self) -> packets.Message | None:
        """Return the next message, to which nothing else refers, so that releasing it frees its payload."""
        found = self.next()
        return packets.Message(*found) if found is not None else None

    def reserve_held(self, further: int = 0) -> bool:
        """Reserve memory for what is held, and for this many further bytes; return whether it fits."""
        held = self.held_bytes + further
        if held <= UNRESERVED_BYTES and not self._reservation.size:  # nearly always
            return True
        return self._reserve(self._reservation, held if held > UNRESERVED_BYTES else 0)

    def reserve_command(self, size: int) -> bool:
        """Reserve memory for a complete command of this size, until its request ends; return whether it fits."""
        return size <= UNRESERVED_BYTES or self.reserve_more(COMMAND_COPIES * size)

    def reserve_more(self, size: int) -> bool:
        """Reserve further bytes until the open request ends; return whether they fit."""
        return self._reserve(self._reservation, self._reservation.size + size)

    def end_request(self) -> None:
        """Release what the request had reserved; input that was read ahead keeps its part."""
        if not self._reservation.size:
            return
        held = self.held_bytes
        self._reservation.resize(min(self._reservation.size, held if held > UNRESERVED_BYTES else 0))

    def drop(self) -> None:
        """Drop an incomplete command, and reserve nothing any more."""
        self.clear()
        self._reservation.release()
