"""One real process of the program in a trial: its data folder, start, signals and end."""

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

START_LIMIT = 30.0  # s for a process to log the event `started`
SOURCE = str(Path(tealwing.__file__).parent.parent)
FAULT_EVENTS = ("must_hold_broken", "control_call_failed", "decision_failed", "watch_update_in_parts")


class ProcessStartError(RuntimeError):
    """A process did not start; the message holds the end of its log."""


class Process:
    """A gateway process of the trial; its data folder and its log persist over restarts."""

    def __init__(self, name: str, directory: Path, config: dict[str, Any], conf: str, control: Address) -> None:
        self.name, self.directory, self.control = name, directory, control
        self.data, self.old = directory / "data", directory / "old"
        self.log = directory / "log.jsonl"
        self.data.mkdir(parents=True)
        (directory / "config.json").write_text(json.dumps(config))
        (directory / "tealwing.conf").write_text(conf)
        self._process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.stopped = False  # whether it is stopped by SIGSTOP
        self._read_from = 0
        self.started: dict[str, Any] = {}

    @property
    def running(self) -> bool:
        """Whether the process exists, stopped or not."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int | None:
        """The process id; None if the process does not run."""
        return self._process.pid if self._process is not None and self.running else None

    def start(self) -> None:
        """Start the process if it does not run; `ready` waits until it serves."""
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

    def ready(self, seconds: float = START_LIMIT) -> dict[str, Any]:
        """Wait for the event `started` of this start, which holds the listen addresses, and return it."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for event in self.events(self._read_from):
                if event.get("event") == "started":
                    self.started = event
                    return event
            if not self.running:
                break
            time.sleep(0.02)
        what = f"logged no event `started` within {seconds:g} s" if self.running else "ended before it had started"
        raise ProcessStartError(
            f"process {self.name} {what}; end of its log: {self.log.read_text(errors='replace')[-800:]}"
        )

    def address(self, key: str) -> Address | None:
        """Return the address for clients (`listen`) or operators (`admin`) of this start; None if there is none."""
        found = self.started.get(key)
        return (found[0], found[1]) if found and self.running else None

    def events(self, since: int = 0) -> list[dict[str, Any]]:
        """Return the events of the log from a byte offset on."""
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
        """Return what the log holds that no log may hold: events of broken checks, and tracebacks."""
        found = [json.dumps(event)[:400] for event in self.events() if event.get("event") in FAULT_EVENTS]
        text = self.log.read_text(errors="replace") if self.log.exists() else ""
        if "Traceback (most recent call last)" in text.replace("\\n", "\n") and not found:
            found.append(text[text.index("Traceback") :][:800])
        return found

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        if self._process is not None and self.running:
            self._process.send_signal(number)
            if number == signal.SIGSTOP:
                self.stopped = True
            elif number == signal.SIGCONT:
                self.stopped = False

    def kill(self) -> None:
        """Send SIGKILL and wait for the process to end."""
        if self._process is not None:
            self._process.kill()
            self._process.wait(10.0)
        self.stopped = False

    def terminate(self, seconds: float = 10.0) -> None:
        """Send SIGTERM, then SIGKILL if the process does not end within that time."""
        if self._process is None or not self.running:
            return
        self.signal(signal.SIGCONT)
        self._process.terminate()
        try:
            self._process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()

    def save_disk(self) -> None:
        """Copy the data folder as of one moment: the process is stopped during the copy."""
        was_stopped = self.stopped
        if self.running and not was_stopped:
            self.signal(signal.SIGSTOP)
        try:
            shutil.rmtree(self.old, ignore_errors=True)
            shutil.copytree(self.data, self.old)
        finally:
            if self.running and not was_stopped:
                self.signal(signal.SIGCONT)

    def prepare_disk(self, which: str) -> None:
        """Prepare the data folder for the next start: `kept` as it is, `old` from the saved copy, or `none`, empty."""
        assert not self.running
        if which == "old" and self.old.exists():
            shutil.rmtree(self.data)
            shutil.copytree(self.old, self.data)
        elif which == "none":
            shutil.rmtree(self.data)
            self.data.mkdir()
