"""Descriptions of Raft messages for the traces of the replicated log's model check."""

from __future__ import annotations

from tealwing.replica.messages import (
    AppendEntries,
    AppendEntriesReply,
    ConfirmIncarnation,
    ConfirmVote,
    InstallSnapshot,
    InstallSnapshotReply,
    Message,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
    VoteConfirmation,
)


def describe(message: Message) -> str:
    """Return the text for a message in a trace."""
    match message:
        case RequestVote(term, index, last):
            return f"vote request for term {term} (last log entry {index} of term {last})"
        case RequestVoteReply(_, asked, _, granted):
            return f"vote {'granted' if granted else 'denied'} for term {asked}"
        case AppendEntries(term, prev, _, entries, commit):
            what = ", ".join(f"{entry.index} of term {entry.term}" for entry in entries) or "no entries"
            return f"append in term {term}: after {prev}, {what}; commit index {commit}"
        case AppendEntriesReply(term, ok, match, hint):
            outcome = f"log matches up to {match}" if ok else f"log mismatch, retry from {hint}"
            return f"append reply in term {term}: {outcome}"
        case InstallSnapshot() | InstallSnapshotReply():
            return "a snapshot chunk or its reply"
        case TimeoutNow(term):
            return f"request to stand for election at once, term {term}"
        case ConfirmVote(term):
            return f"request to confirm the vote for term {term}"
        case VoteConfirmation(term, _):
            return f"vote confirmed, still in term {term}"
        case ConfirmIncarnation(term, _):
            return f"incarnation confirmed, caught up in term {term}"
