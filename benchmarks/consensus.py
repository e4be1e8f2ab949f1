"""Model-checks the core of the replicated log; prints states, time and the mutations detected.

Some models start from figure 8 (b) of the Raft paper.

Example: python -m benchmarks.consensus [DEPTH]
"""

from __future__ import annotations

import sys
from dataclasses import replace

from tealwing.lab.models.consensus import Budget, Consensus
from tealwing.lab.models.explore import explore
from tealwing.lab.models.starts import confirmed, figure_eight, forgotten, led


def main() -> None:
    """Explore all models to a depth, 8 unless given, and print a line for each."""
    depth = int(sys.argv[1]) if len(sys.argv) > 1 else 8
    plain = Budget(timeouts=2, beats=1, proposals=1, crashes=1, twice=1)
    from_eight = Budget(timeouts=2, beats=0, proposals=0, crashes=1, twice=1)
    old = Budget(timeouts=2, beats=0, proposals=0, crashes=0, old=1, twice=0)
    learning = Budget(timeouts=1, beats=0, proposals=0, crashes=1, twice=0, promotions=1)
    both = Budget(timeouts=1, beats=0, proposals=0, crashes=0, twice=0, promotions=1, demotions=1)
    once = Budget(timeouts=1, beats=0, proposals=0, crashes=0, twice=0)
    few = Budget(timeouts=2, beats=0, proposals=0, crashes=0, twice=0)
    for name, model, to in (
        ("the core", Consensus(plain), depth),
        ("the core, from figure 8 (b)", Consensus(from_eight, begin=figure_eight), depth + 2),
        ("commit-old-terms, from there", Consensus(from_eight, "commit-old-terms", begin=figure_eight), depth + 2),
        ("vote-twice", Consensus(plain, "vote-twice"), depth),
        ("the core, older disks", Consensus(old, stale=1), depth + 4),
        ("trust-old-disks", Consensus(old, "trust-old-disks", stale=1), depth + 4),
        ("a vote is forgotten", Consensus(once, "", "abcde", 1, begin=forgotten), depth + 2),
        ("and its voter is sure", Consensus(once, "", "abcde", 1, begin=confirmed), depth + 3),
        ("forgotten-votes, from there", Consensus(once, "forgotten-votes", "abcde", 1, begin=confirmed), depth + 2),
        ("3 voters and a learner", Consensus(replace(plain, twice=0), learners="d"), depth),
        ("the learner is promoted", Consensus(learning, begin=led, learners="d"), depth + 1),
        ("it is promoted, and a voter demoted", Consensus(both, begin=led, learners="d"), depth + 3),
        ("count-learners", Consensus(few, "count-learners", learners="d"), depth + 2),
    ):
        print(f"{name}: {explore(model, to, 1_500_000).text()}", flush=True)


if __name__ == "__main__":
    main()
