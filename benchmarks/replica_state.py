"""Measures a large replicated state: memory during a snapshot, and the catch-up of a member with an empty disk.

Example: python -m benchmarks.replica_state [MEGABYTES]
"""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path

import msgspec

from tealwing.lab.faults import scenario
from tealwing.lab.rig import layouts
from tealwing.lab.rig.configuration import Layout
from tealwing.lab.rig.trial import Trial
from tealwing.replica import commands

VALUE = 256 * 1024  # bytes of each stored value


def peak(pid: int | None, clear: bool = False) -> int:
    """The peak resident memory of a process in MB; clear resets the peak first."""
    if clear:
        Path(f"/proc/{pid}/clear_refs").write_text("5")
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) // 1024 for line in lines if line.startswith("VmHWM"))


def main() -> None:
    """Fill the state, take a snapshot, restart a member with an empty disk, and print the figures as JSON."""
    megabytes = int(sys.argv[1]) if len(sys.argv) > 1 else 100
    with Trial(scenario.load("stale-disk"), 3, 5.0, 1, layout=Layout(layouts.REPLICA)) as trial:
        trial.start()
        leader = trial.leader()
        other = next(name for name in trial.names if name != leader)
        caller = trial.caller(leader)
        found: dict[str, object] = {"state_mb": megabytes, "empty_mb": peak(trial.processes[leader].pid)}
        begun = time.monotonic()
        for number in range(megabytes * (1 << 20) // VALUE):
            body = msgspec.msgpack.encode(commands.Put(f"k{number}", number.to_bytes(4, "big") * (VALUE // 4)))
            answer = caller.call("replica.do", 20.0, body=body, client="bench", sequence=number + 1, wait_s=15.0)
            assert answer["word"] == "ok", answer
        found["fill_s"] = round(time.monotonic() - begun, 1)
        found["filled_mb"] = peak(trial.processes[leader].pid, clear=True)
        before = caller.call("replica.status")["snapshot"]
        begun = time.monotonic()
        caller.call("replica.snapshot")
        assert trial.wait(lambda: caller.call("replica.status")["snapshot"] > before, 60.0)
        found["snapshot_s"] = round(time.monotonic() - begun, 2)
        found["snapshot_peak_mb"] = peak(trial.processes[leader].pid, clear=True)
        process = trial.processes[other]
        process.kill()
        process.prepare_disk("none")
        begun = time.monotonic()
        process.start()
        process.ready()
        applied = caller.call("replica.status")["applied"]
        second = trial.caller(other)
        assert trial.wait(lambda: second.call("replica.status")["applied"] >= applied, 120.0)
        found["catchup_s"] = round(time.monotonic() - begun, 2)
        found["catchup_leader_peak_mb"] = peak(trial.processes[leader].pid)
        found["catchup_member_peak_mb"] = peak(process.pid)
        found["same"] = caller.call("replica.digest")["digest"] == second.call("replica.digest")["digest"]
        print(json.dumps(found), flush=True)


if __name__ == "__main__":
    main()
