"""The directory in which the processes of one gateway find one another: a number and an inbox for each.

An inbox is a FIFO. Its owner alone holds it open for reading, so opening the FIFO for writing fails with ENXIO once the
owner has exited, even after SIGKILL. Each registration removes the FIFOs of processes that have exited.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import select
import stat
import threading
import time
from collections.abc import Iterator
from pathlib import Path

from tealwing.mysql.connection_ids import MAX_PROCESS

LOCK_FILE = "last-number"  # locked during a registration; holds the number given last
INBOX_PREFIX = "inbox-"
LOCK_LIMIT = 1.0  # s that a registration waits for another one to finish
LOCK_RETRY_INTERVAL = 0.01  # s
NUMBER_DIGITS = 3  # of the number in LOCK_FILE, a fixed width: it is overwritten in place
PRIVATE_DIRECTORY, PRIVATE_FILE = 0o700, 0o600  # permissions: a user who can write to an inbox can cancel requests


class ProcessDirectoryError(Exception):
    """The directory is unusable; the message gives the reason and the remedy."""


class ProcessGoneError(Exception):
    """No process with this number runs."""


class Inbox:
    """The registration of this process: its number, and its FIFO opened for reading."""

    def __init__(self, process: int, path: Path, descriptor: int) -> None:
        """Own the non-blocking descriptor of the FIFO at this path, until `close`."""
        self.process, self._descriptor, self._path = process, descriptor, path
        self._lock = threading.Lock()  # keeps `wake` from a closed descriptor, whose number may be in use again
        self._is_closed = False

    def read(self, size: int) -> bytes:
        """Wait for messages, and return at most `size` bytes of them; for the one thread that closes the inbox."""
        ready = select.poll()
        ready.register(self._descriptor, select.POLLIN)
        ready.poll()
        return os.read(self._descriptor, size)

    def wake(self, message: bytes) -> None:
        """End a wait of `read` by this message; no effect once the inbox is closed. Never blocks."""
        with self._lock, contextlib.suppress(BlockingIOError):  # a full inbox ends the wait too
            if not self._is_closed:
                os.write(self._descriptor, message)

    def remove(self) -> None:
        """Remove the FIFO from the directory; what is open stays usable."""
        with contextlib.suppress(OSError):  # removed by hand
            self._path.unlink()

    def close(self) -> None:
        """Close the FIFO: from here on no process can write to it."""
        with self._lock:
            self._is_closed = True
            os.close(self._descriptor)


class ProcessDirectory:
    """The processes of one gateway, by number."""

    def __init__(self, path: Path) -> None:
        """Use the directory at this path, which `register` makes if it is missing."""
        self._path = path

    def register(self) -> Inbox:
        """Take a number that no running process has, and make the inbox. Raises ProcessDirectoryError.

        Numbers are given in turn, so that the number of a process that has ended is not given again soon.
        """
        try:
            self._make()
            with self._locked() as descriptor:
                self._remove_dead_inboxes()
                number = self._next_number(descriptor)
                inbox = self._make_inbox(number)
                os.pwrite(descriptor, f"{number:0{NUMBER_DIGITS}}".encode(), 0)
                return inbox
        except OSError as error:
            raise ProcessDirectoryError(f"{self._path}: {error}; set TMPDIR to a directory that allows it") from None

    def open_inbox(self, process: int) -> int:
        """Open the inbox of another process for writing without blocking. Raises ProcessGoneError, OSError."""
        try:
            descriptor = os.open(self._inbox_path(process), os.O_WRONLY | os.O_NONBLOCK | os.O_NOFOLLOW)
        except OSError as error:
            if error.errno in (errno.ENOENT, errno.ENXIO):
                raise ProcessGoneError(f"no process with the number {process} runs") from None
            raise
        if not stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            os.close(descriptor)
            raise ProcessGoneError(f"{self._inbox_path(process)} is not a FIFO")
        return descriptor

    def _make(self) -> None:
        with contextlib.suppress(FileExistsError):
            self._path.mkdir(PRIVATE_DIRECTORY)
        found = self._path.lstat()
        if not stat.S_ISDIR(found.st_mode) or found.st_uid != os.geteuid() or stat.S_IMODE(found.st_mode) & 0o077:
            raise ProcessDirectoryError(
                f"{self._path} is not a directory that belongs to this user alone; remove it, or set another TMPDIR"
            )

    @contextlib.contextmanager
    def _locked(self) -> Iterator[int]:
        """Hold the lock of registrations, which the kernel releases when the process exits; yields its descriptor."""
        descriptor = os.open(self._path / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW, PRIVATE_FILE)
        try:
            until = time.monotonic() + LOCK_LIMIT
            while True:
                try:
                    fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                except BlockingIOError:
                    if time.monotonic() > until:
                        raise ProcessDirectoryError(
                            f"{self._path / LOCK_FILE}: locked for {LOCK_LIMIT:g} s; end the process that holds it"
                        ) from None
                time.sleep(LOCK_RETRY_INTERVAL)
            yield descriptor
        finally:
            os.close(descriptor)

    def _next_number(self, descriptor: int) -> int:
        """Return the number after the last one given, or the first after it whose process has ended."""
        text = os.pread(descriptor, NUMBER_DIGITS, 0)
        last = int(text) if text.isdigit() else 0
        for distance in range(MAX_PROCESS):
            number = (last + distance) % MAX_PROCESS + 1
            if not self._is_running(number):
                return number
        raise ProcessDirectoryError(f"{self._path}: all {MAX_PROCESS} process numbers are in use; end some processes")

    def _make_inbox(self, number: int) -> Inbox:
        path = self._inbox_path(number)
        os.mkfifo(path, PRIVATE_FILE)
        # opened for writing too, so that reading never reports the end of the file between two writers
        return Inbox(number, path, os.open(path, os.O_RDWR | os.O_NONBLOCK | os.O_NOFOLLOW))

    def _remove_dead_inboxes(self) -> None:
        for path in self._path.glob(f"{INBOX_PREFIX}*"):
            number = path.name.removeprefix(INBOX_PREFIX)
            if not (number.isdecimal() and self._is_running(int(number))):
                path.unlink()

    def _is_running(self, number: int) -> bool:
        try:
            os.close(self.open_inbox(number))
        except ProcessGoneError:
            return False
        return True

    def _inbox_path(self, number: int) -> Path:
        return self._path / f"{INBOX_PREFIX}{number}"
