"""Members' words on a version of the rules that come to the leader together are written as one entry; pure.

Each gateway of a large fleet says the same two things of every change: as entries of their own they would cost every
member its time, and the leader a message to everyone, for each of them.
"""

from __future__ import annotations

from tealwing.replica import commands as c
from tealwing.rules.records import Closed, Reports, Verdict

MOST = 256  # words in one entry
MOST_BYTES = 48 * 1024  # of commands in one entry: several fit into one message


def gathered(commands: list[bytes]) -> list[bytes]:
    """The same in as few entries as may be, for commands of which nobody waits for what comes of them.

    A word may go before a command that came before it, as on the network: nothing rests on their order.
    """
    found: list[bytes] = []
    words: list[Verdict | Closed] = []
    size = 0
    for data in commands:
        word = _word(data) if len(commands) > 1 else None
        if word is None:
            found.append(data)
            continue
        if len(words) >= MOST or size + len(data) > MOST_BYTES:
            found.append(_entry(words))
            words, size = [], 0
        if word not in words[-8:]:
            words.append(word)
            size += len(data)
    return [*found, _entry(words)] if words else found


def _word(data: bytes) -> Verdict | Closed | None:
    """The word that a command is; None: it is another, or says more than that."""
    try:
        command = c.decode(data)
    except ValueError:
        return None
    plain = not command.client and not command.sequence and command.fence is None
    return command.body if plain and isinstance(command.body, Verdict | Closed) else None


def _entry(words: list[Verdict | Closed]) -> bytes:
    return c.encode(c.Command("", 0, Reports(tuple(words)) if len(words) > 1 else words[0]))
