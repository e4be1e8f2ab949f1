"""Compares the processor time of a request in the gateway process between two work trees, in paired blocks.

    python -m benchmarks.requests PATH [--after PATH] [--blocks 60] [--requests 200]

PATH is a checkout of the earlier program. Both programs run as deployed (-O), side by side, with one stand-in engine
that answers at once. Blocks of requests alternate between the two, the order reversed from pair to pair, so that other
load on the machine affects both; the median of the pairs' ratios is printed.
"""

from __future__ import annotations

import argparse
import json
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

from tests.peers import SETTINGS, Client, Peer, event, member, say

PAGE = b"1\t2\t3\n"
HERE = Path(__file__).parent.parent


class AnsweringEngine(Peer):
    """A stand-in engine that answers each attempt at once."""

    def _read(self, sock):  # type: ignore[no-untyped-def]
        parser = self.parser()
        try:
            while data := sock.recv(4096):
                for word, call, *_ in parser.feed(data):
                    if word == b"want":
                        say(sock, call, b"200", b"sheets=1", PAGE)
        except OSError:
            pass


class Gateway:
    """The gateway process of one work tree, with a client connected to it."""

    def __init__(self, tree: Path, engine: str, folder: Path) -> None:
        known = {"index": 1, "updates": [event(1, member("s-1", engine))]}
        config = {"name": "n0", "listen": "127.0.0.1:0", "seed": "1f", "coordinator": "127.0.0.1:1"}
        path = folder / f"{tree.name}-{id(self)}.json"
        path.write_text(json.dumps(config | {"known": known, "settings": SETTINGS}))
        self.process = subprocess.Popen(
            [sys.executable, "-O", "-m", "tealwing"],
            cwd=tree,
            env={"LB_CONFIG": str(path), "MALLOC_ARENA_MAX": "1"},
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self.process.stdout is not None
        for line in self.process.stdout:
            found = json.loads(line)
            if found["event"] == "started":
                break
        host, port = found["listen"]
        self.client = Client((host, port))
        self.count = 0

    def used(self) -> float:
        """Processor seconds of all its threads so far, from the scheduler's statistics (schedstat, in ns)."""
        tasks = Path(f"/proc/{self.process.pid}/task").iterdir()
        return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e9

    def resident(self) -> float:
        """Resident memory (RSS) in MB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition("VmRSS:")[2].split()[0]) / 1024

    def block(self, requests: int) -> float:
        """Send `requests` requests one after another; returns the gateway's processor seconds for them."""
        begun = self.used()
        for _ in range(requests):
            self.count += 1
            self.client.ask(call=f"{self.count:016x}")
            assert len(self.client.rows()) == 1
        return self.used() - begun

    def end(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()


def main() -> None:
    """Measure both trees and print times, ratios and memory."""
    parser = argparse.ArgumentParser()
    parser.add_argument("before", type=Path)
    parser.add_argument("--after", type=Path, default=HERE)
    parser.add_argument("--blocks", type=int, default=60)
    parser.add_argument("--requests", type=int, default=200)
    arguments = parser.parse_args()
    engine = AnsweringEngine()
    with tempfile.TemporaryDirectory() as folder:
        trees = [arguments.before.resolve(), arguments.after.resolve()]
        gateways = [Gateway(tree, engine.address, Path(folder)) for tree in trees]
        try:
            for gateway in gateways:
                gateway.block(arguments.requests)  # warm-up
            spent: list[list[float]] = [[], []]
            for number in range(arguments.blocks):
                for which in (0, 1) if number % 2 else (1, 0):
                    spent[which].append(gateways[which].block(arguments.requests) / arguments.requests)
            ratios = [after / before for before, after in zip(*spent, strict=True)]
            low, middle, high = statistics.quantiles(ratios, n=4)
            before, after = (statistics.median(one) * 1e6 for one in spent)
            print(f"processor time a request, us: {before:.1f} before, {after:.1f} after (medians of blocks)")
            print(f"ratio of pairs: median {middle:.3f}, quartiles {low:.3f} and {high:.3f}, {len(ratios)} pairs")
            print("memory, MB:", ", ".join(f"{gateway.resident():.1f}" for gateway in gateways))
        finally:
            for gateway in gateways:
                gateway.end()


if __name__ == "__main__":
    main()
