"""Records the events of one gateway in a modelled flood and the digest of an earlier decision module's actions.

    python -m benchmarks.record_actions 712515d

A test of the service levels replays the events: with no level in force, the actions must be the same, byte for byte.
"""

from __future__ import annotations

import hashlib
import importlib
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import numpy as np

import tealwing
from tealwing import interface as api
from tealwing import wire
from tealwing.lab import arrivals, load_swing, site
from tealwing.lab.harness import Deployment
from tests.recorded import recorded

SECONDS, SEED = 30.0, 7  # of arrivals


def module_of(commit: str) -> Any:
    """Import the decision module (a file or a package) as of a commit; all other modules stay the current ones."""
    list_files = ["git", "ls-tree", "-r", "--name-only", commit, "tealwing/policy", "tealwing/policy.py"]
    paths = subprocess.run(list_files, capture_output=True, check=True, text=True).stdout.split()
    current_modules = {name: sys.modules.pop(name) for name in list(sys.modules) if name.startswith("tealwing.policy")}
    with tempfile.TemporaryDirectory() as folder:
        for path in paths:
            text = subprocess.run(["git", "show", f"{commit}:{path}"], capture_output=True, check=True).stdout
            (Path(folder) / path).parent.mkdir(parents=True, exist_ok=True)
            (Path(folder) / path).write_bytes(text)
        tealwing.__path__.insert(0, f"{folder}/tealwing")
        try:
            return importlib.import_module("tealwing.policy")
        finally:
            tealwing.__path__.pop(0)
            for name in [name for name in sys.modules if name.startswith("tealwing.policy")]:
                del sys.modules[name]
            sys.modules.update(current_modules)


def main() -> None:
    """Run the flood on the earlier module and write its events and the digest."""
    earlier = module_of(sys.argv[1])
    events: list[tuple[float, api.Event]] = []
    digest = hashlib.sha256()

    class Recorder:
        """Runs the earlier module and records the first gateway's events and actions."""

        def __init__(self, settings: api.Settings, seed: int) -> None:
            self.first = seed % 1000 == 0
            self.module = earlier.Gateway(settings, 5 if self.first else seed)

        def handle(self, now: float, event: api.Event) -> list[api.Action]:
            actions: list[api.Action] = self.module.handle(now, event)
            if self.first:
                events.append((now, event))
                for action in actions:
                    digest.update(wire.encode(0, action))
            return actions

    settings = recorded.settings()
    draws = site.draws(np.random.default_rng(SEED), load_swing.SERVERS)
    rate = site.rate(draws, load_swing.MEAN_WORK, 0.8)
    asked = arrivals.draw(
        np.random.default_rng(SEED + 1), rate, SECONDS, 3, arrivals.burst(2.5, SECONDS / 3, SECONDS / 3)
    )
    deployment = Deployment(settings, draws, asked, Recorder, SEED)
    deployment.crash([2], 8.0, 16.0)
    deployment.slow([3], 12.0, 20.0, 5.0)
    deployment.drain(4, 18.0)
    deployment.run(SECONDS + load_swing.AFTER)
    recorded.dump(events, digest.hexdigest())
    print(f"{len(events)} events, digest {digest.hexdigest()}")


if __name__ == "__main__":
    main()
