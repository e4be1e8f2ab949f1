"""The gateway as a program: from its configuration, over reloads, to the end of its drain."""

from __future__ import annotations

import gc
import os
import signal
import sys
import threading
import time
from dataclasses import replace

from tealwing import interface, log
from tealwing.admin.server import AdminServer
from tealwing.config import Config, ConfigError, ConfigRejectedError, load
from tealwing.gateway.daemon import Daemon
from tealwing.mysql.server import Server

STACK = 256 * 1024  # bytes a thread
SWITCH = 0.1  # s that a thread waits before it asks for the interpreter: hundreds that ask are work too
COLLECT = 5000  # objects made between collections: a request's own cycle is a few dozen
SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}
STILL_COMING = 0.65  # s after SIGTERM for which clients still connect (0.4) and then ask (0.2), and a little
MAX_SIGNAL_WAIT = 3.0  # s that the platform waits for the longest deadline at most
KILL_MARGIN = 0.7  # s more after which its SIGKILL comes at the earliest
REREAD, REREADS = 0.25, 8  # s between, and number of, further readings of a file that can't be used
SIGNAL_LOOK = 0.02  # s between two looks for a signal, while a file is read again
LAST_WORDS = 0.4  # s before the platform's SIGKILL at which what is open fails
EXIT = 0.1  # s before it at which nothing more is waited for: the process's own end takes some hundredths


def serve(config: Config, conf: str | None = None) -> None:
    """Serve until SIGTERM, then finish all that was taken. conf is the path of the operators' own file."""
    daemon = Daemon(config)
    server = Server(
        config.listen, config.max_clients, config.settings, daemon.open, config.accept_fd, config.max_threads
    )
    daemon.on_settings = lambda settings: apply_settings(server, config, settings)
    if conf is not None:
        apply_operators_file(daemon, server, conf)
    serving = threading.Event()  # what readiness says: set once clients are taken, cleared at the drain
    admin = None
    if config.admin is not None:
        admin = AdminServer(
            config.admin,
            lambda: serving.is_set() and daemon.readiness()[0],
            daemon.metrics.statsd_lines,
            lambda: daemon.readiness()[1],
        )
        admin.start()
    daemon.start()
    server.start()
    serving.set()
    kinds = {kind.name: kind.cores for kind in config.settings.machine_kinds}
    gc.freeze()  # what is here now stays: collections need not walk it
    gc.set_threshold(COLLECT)
    log.event("started", gateway=config.name, listen=server.address, admin=admin and admin.address, kinds=kinds)

    again = 0  # how often files that can't be used are still read again: they may be half written
    while True:
        got = next_signal(REREAD if again else None)
        if got is not None and got != signal.SIGHUP:
            break
        again = REREADS if got is not None else again - 1
        good = reload(daemon, server, conf, say=got is not None)
        if got is not None or good:  # a further reading that fails again is the same file turned down
            daemon.metrics.count_configuration(good)
        if good:
            again = 0
    stopped = time.monotonic()
    serving.clear()
    daemon.stop()
    log.event("draining")
    if not server.shared:  # a queue of our own: clients still come for a while; else the other process takes them
        time.sleep(STILL_COMING)
    server.stop_listening()
    kill = stopped + min(daemon.max_deadline, MAX_SIGNAL_WAIT) + KILL_MARGIN
    cut_short = 0
    if not server.finish(kill - LAST_WORDS - time.monotonic()):
        cut_short = daemon.fail_open_requests()
        log.event("drain_cut_short", failed=cut_short)
        if not server.finish(kill - EXIT - time.monotonic()) and daemon.open_requests:
            server.finish(MAX_SIGNAL_WAIT)  # all have failed: their answers leave, unless SIGKILL comes first
    if admin is not None:
        admin.stop()
    ok, shed, failed, _ = daemon.metrics.totals
    log.event(
        "stopped",
        after=time.monotonic() - stopped,
        answered=ok + shed,
        failed=failed,  # with those cut short, and those that their clients gave up
        cut_short=cut_short,
        unanswered=daemon.open_requests,
        connections=server.connections,
    )


def apply_settings(server: Server, config: Config, settings: interface.Settings) -> None:
    """Have the server read new requests under the settings, with the threads that they allow."""
    server.apply_settings(settings, replace(config, settings=settings).max_threads)


class OperatorsFileError(Exception):
    """The operators' file can't be used; the text has a line for each problem."""


def apply_operators_file(daemon: Daemon, server: Server, conf: str) -> None:
    """Put the operators' file in force; imports the reader and what it switches on, and nothing else."""
    from tealwing.conf import reader

    try:
        read = reader.read(conf)
        daemon.apply_operators_file(read.records)
    except ValueError as error:  # what it says is wrong, or does not fit the platform's settings
        raise OperatorsFileError(str(error)) from error
    server.on_unread_age = daemon.record_unread_age if "levels" in read.records else None
    server.gate = daemon.gate
    log.event("operators_file", path=conf, sections=sorted(read.records))


def reload(daemon: Daemon, server: Server, conf: str | None, say: bool = True) -> bool:
    """Read both files again; of each, one that can't be used is logged if say, and the old one stays.

    Whether both held. A file is taken whole or not at all: it is read and checked before anything changes.
    """
    good = True
    try:
        daemon.reconfigure(load(os.environ))
    except ConfigRejectedError as error:
        if say:
            log.event("config_rejected", why=error.reason, remedy=error.remedy)
        good = False
    except (ConfigError, OSError) as error:
        if say:
            log.event("configuration_unusable", error=str(error))
        good = False
    try:
        if conf is not None:
            apply_operators_file(daemon, server, conf)
    except OperatorsFileError as error:
        if say:
            log.event("operators_file_unusable", path=conf, problems=str(error).splitlines())
        good = False
    return good


def next_signal(limit: float | None) -> int | None:
    """The next of the signals, waited for; None where none has come in limit seconds.

    Not by `signal.sigtimedwait`: where that is interrupted with its time over, as by a stop of the process, CPython
    gives a signal that never came.
    """
    if limit is not None:
        until = time.monotonic() + limit
        while not signal.sigpending() & SIGNALS:
            left = until - time.monotonic()
            if left <= 0:
                return None
            time.sleep(min(left, SIGNAL_LOOK))
    return signal.sigwaitinfo(SIGNALS).si_signo


def take_signals() -> None:
    """Have signals wait for `serve`, before any thread starts and before the configuration is read.

    The shell that starts the program ignores SIGHUP, which would end it while it starts. What it drops until here was
    for a file that is read after this; what comes from here on is kept. Blocked first: an ignored signal that is
    blocked is kept too, and no moment is left in which one has its default effect.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


def gateway(conf: str | None = None) -> int:
    """Run the gateway; bad configuration ends it with what is wrong on standard error."""
    take_signals()
    threading.stack_size(STACK)
    sys.setswitchinterval(SWITCH)
    try:
        serve(load(os.environ), conf)
    except (ConfigError, OSError) as error:
        print(f"tealwing: {' '.join(str(error).split())}", file=sys.stderr)
        return 1
    except OperatorsFileError as error:
        print(error, file=sys.stderr)
        return 1
    return 0
