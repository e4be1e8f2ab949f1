"""The words of a story that the model check of the replicated log tells."""

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
    """A message as words."""
    match message:
        case RequestVote(term, index, last):
            return f"vote for me in term {term} (my log ends at {index} of term {last})"
        case RequestVoteReply(_, asked, _, granted):
            return f"{'yes' if granted else 'no'} for term {asked}"
        case AppendEntries(term, prev, _, entries, commit):
            what = ", ".join(f"{entry.index} of term {entry.term}" for entry in entries) or "nothing new"
            return f"I lead term {term}: after {prev} comes {what}; {commit} is committed"
        case AppendEntriesReply(term, ok, match, hint):
            return f"term {term}: {f'I have all up to {match}' if ok else f'that does not fit; try {hint}'}"
        case InstallSnapshot() | InstallSnapshotReply():
            return "a piece of a snapshot"
        case TimeoutNow(term):
            return f"term {term}: stand at once"
        case ConfirmVote(term):
            return f"do you hold your vote for me in term {term}?"
        case VoteConfirmation(term, _):
            return f"I am in term {term}, as before"
        case ConfirmIncarnation(term, _):
            return f"term {term}: you have caught up"
