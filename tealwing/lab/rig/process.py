"""One real process of the program in a trial: its folder, its start, its signals, its end by its id."""

from __future__ import annotations

import contextlib
import json
import os
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import tealwing
from tealwing.peers.plan import Address

READY = 30.0  # s for a process to say that it has started
SOURCE = str(Path(tealwing.__file__).parent.parent)
FAULT_EVENTS = ("must_hold_broken", "control_call_failed", "decision_failed", "watch_update_in_parts")


class ProcessStartError(RuntimeError):
    """A process did not start; the text has the end of its log."""


class Process:
    """A gateway of the trial. Its data folder stays over restarts; its log goes on."""

    def __init__(self, name: str, directory: Path, config: dict[str, Any], conf: str, control: Address) -> None:
        self.name, self.directory, self.control = name, directory, control
        self.data, self.old = directory / "data", directory / "old"
        self.log = directory / "log.jsonl"
        self.data.mkdir(parents=True)
        (directory / "config.json").write_text(json.dumps(config))
        (directory / "tealwing.conf").write_text(conf)
        self._process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.stopped = False  # by SIGSTOP
        self._read_from = 0
        self.started: dict[str, Any] = {}

    @property
    def running(self) -> bool:
        """Whether it lives, stopped or not."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int | None:
        """Its id while it lives."""
        return self._process.pid if self._process is not None and self.running else None

    def start(self) -> None:
        """Start it; `ready` waits until it serves."""
        if self.running:
            return
        self._read_from = self.log.stat().st_size if self.log.exists() else 0
        environment = {k: v for k, v in os.environ.items() if not k.startswith(("LB_", "TEALWING_"))}
        environment |= {
            "LB_CONFIG": str(self.directory / "config.json"), "TEALWING_CONF": str(self.directory / "tealwing.conf"),
            "MALLOC_ARENA_MAX": "1", "PYTHONPATH": SOURCE, "TMPDIR": str(self.directory),
        }  # fmt: skip
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "tealwing"], cwd=self.directory, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )  # fmt: skip
        self.starts += 1
        self.stopped, self.started = False, {}

    def ready(self, seconds: float = READY) -> dict[str, Any]:
        """Its event `started`: where it listens."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for event in self.events(self._read_from):
                if event.get("event") == "started":
                    self.started = event
                    return event
            if not self.running:
                break
            time.sleep(0.02)
        raise ProcessStartError(f"{self.name}: {self.log.read_text(errors='replace')[-800:]}")

    def address(self, key: str) -> Address | None:
        """Where it listens for clients (`listen`) or operators (`admin`), as it said at this start."""
        found = self.started.get(key)
        return (found[0], found[1]) if found and self.running else None

    def events(self, since: int = 0) -> list[dict[str, Any]]:
        """The events of its log, from a place on."""
        found = []
        with contextlib.suppress(OSError), self.log.open("rb") as log:
            log.seek(since)
            for line in log.read().splitlines():
                with contextlib.suppress(json.JSONDecodeError):
                    event = json.loads(line)
                    if isinstance(event, dict):
                        found.append(event)
        return found

    def fault_lines(self) -> list[str]:
        """What its log says that must never be said: broken checks, tracebacks."""
        found = [json.dumps(event)[:400] for event in self.events() if event.get("event") in FAULT_EVENTS]
        text = self.log.read_text(errors="replace") if self.log.exists() else ""
        if "Traceback (most recent call last)" in text.replace("\\n", "\n") and not found:
            found.append(text[text.index("Traceback") :][:800])
        return found

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, to this process alone."""
        if self._process is not None and self.running:
            self._process.send_signal(number)
            if number == signal.SIGSTOP:
                self.stopped = True
            elif number == signal.SIGCONT:
                self.stopped = False

    def kill(self) -> None:
        """SIGKILL, and wait for its end."""
        if self._process is not None:
            self._process.kill()
            self._process.wait(10.0)
        self.stopped = False

    def terminate(self, seconds: float = 10.0) -> None:
        """SIGTERM, and SIGKILL where that does not end it."""
        if self._process is None or not self.running:
            return
        self.signal(signal.SIGCONT)
        self._process.terminate()
        try:
            self._process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()

    def save_disk(self) -> None:
        """Keep a copy of the data folder as it is at one moment: the process stands still for it."""
        stood = self.stopped
        if self.running and not stood:
            self.signal(signal.SIGSTOP)
        try:
            shutil.rmtree(self.old, ignore_errors=True)
            shutil.copytree(self.data, self.old)
        finally:
            if self.running and not stood:
                self.signal(signal.SIGCONT)

    def bring_disk(self, which: str) -> None:
        """What the next start finds: the disk as it was kept, an older copy of it, or nothing."""
        assert not self.running
        if which == "old" and self.old.exists():
            shutil.rmtree(self.data)
            shutil.copytree(self.old, self.data)
        elif which == "none":
            shutil.rmtree(self.data)
            self.data.mkdir()
