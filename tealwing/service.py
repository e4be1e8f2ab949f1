"""The gateway process: start, reloads at SIGHUP, and drain at SIGTERM or SIGINT."""

from __future__ import annotations

import gc
import os
import signal
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from tealwing import interface, log
from tealwing.admin.server import AdminServer
from tealwing.config import Config, ConfigError, ConfigRejectedError, load
from tealwing.gateway.daemon import Daemon
from tealwing.mysql.server import Server
from tealwing.threads import ThreadUnavailableError

if TYPE_CHECKING:  # at run time, imported only if clients are shared with other processes
    from tealwing.upgrade.kill_relay import KillRelay

STACK_SIZE = 256 * 1024  # bytes per thread
SWITCH_INTERVAL = 0.1  # s until a thread requests the interpreter lock; requests of hundreds of threads cost time
GC_THRESHOLD = 5000  # allocations between garbage collections; the cycles of one request are a few dozen objects
SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}
LISTEN_GRACE = 0.65  # s after SIGTERM in which clients still connect (0.4) and send a request (0.2), and a margin
MAX_DEADLINE_WAIT = 3.0  # s; the platform waits for the longest deadline, but no longer than this
KILL_MARGIN = 0.7  # s after that wait at which the platform's SIGKILL comes at the earliest
RETRY_INTERVAL, MAX_RETRIES = 0.25, 8  # s between, and number of, further readings of an unusable file
SIGNAL_POLL_INTERVAL = 0.02  # s between two checks for a signal while an unusable file is read again
FAIL_MARGIN = 0.4  # s before the platform's SIGKILL at which open requests are failed
EXIT_MARGIN = 0.2  # s before the SIGKILL at which waiting ends: the exit itself, and a pause of the process


def serve(config: Config, conf: str | None = None) -> None:
    """Serve until SIGTERM or SIGINT, then finish the open requests. conf is the path of the operators' file."""
    daemon = Daemon(config)
    server = Server(
        config.listen,
        config.max_clients,
        config.settings,
        daemon.open,
        config.accept_fd,
        config.max_threads,
        config.process_memory_limit,
    )
    daemon.server_gauges = server.gauges
    daemon.on_settings = lambda settings: apply_settings(server, config, settings)
    if conf is not None:
        apply_operators_file(daemon, server, conf)
    serving = threading.Event()  # reported by readiness: set once clients are accepted, cleared at the drain
    admin = None
    if config.admin is not None:
        admin = AdminServer(
            config.admin,
            lambda: serving.is_set() and daemon.readiness()[0],
            daemon.metrics.statsd_lines,
            lambda: daemon.readiness()[1],
        )
        admin.start()
    relay = join_processes(server, daemon, config) if server.shared else None
    daemon.start()
    server.start()
    serving.set()
    kinds = {kind.name: kind.cores for kind in config.settings.machine_kinds}
    gc.freeze()  # exempts the objects of the start, which stay, from collections
    gc.set_threshold(GC_THRESHOLD)
    log.event("started", gateway=config.name, listen=server.address, admin=admin and admin.address, kinds=kinds)

    retries = 0  # further readings that are left for unusable files, which may be half written
    while True:
        got = next_signal(RETRY_INTERVAL if retries else None)
        if got is not None and got != signal.SIGHUP:
            break
        retries = MAX_RETRIES if got is not None else retries - 1
        good = reload(daemon, server, conf, log_failures=got is not None)
        if got is not None or good:  # a repeated failure concerns the same file, which is counted already
            daemon.metrics.count_configuration(good)
        if good:
            retries = 0
    stopped_at = time.monotonic()
    serving.clear()
    daemon.stop()
    log.event("draining")
    if not server.shared:  # clients still come; with a shared queue the other process accepts them
        time.sleep(LISTEN_GRACE)
    server.stop_listening()
    killed_at = stopped_at + min(daemon.max_deadline, MAX_DEADLINE_WAIT) + KILL_MARGIN
    cut_short = finish_requests(server, daemon, killed_at)
    if admin is not None:
        admin.stop()
    if relay is not None:
        relay.close()
    ok, shed, failed, _ = daemon.metrics.totals
    log.event(
        "stopped",
        after=time.monotonic() - stopped_at,
        answered=ok + shed,
        failed=failed,  # includes requests that the drain cut short and requests that clients cancelled
        cut_short=cut_short,
        unanswered=daemon.open_requests,
        connections=server.connections,
    )


def finish_requests(
    server: Server, daemon: Daemon, killed_at: float, clock: Callable[[], float] = time.monotonic
) -> int:
    """Finish the open requests before a SIGKILL at monotonic time killed_at; return how many had to be failed."""
    if server.finish(killed_at - FAIL_MARGIN - clock()):
        return 0
    cut_short = daemon.fail_open_requests()
    log.event("drain_cut_short", failed=cut_short)
    if not server.finish(killed_at - EXIT_MARGIN - clock()) and daemon.open_requests:
        server.finish(MAX_DEADLINE_WAIT)  # sends the errors of the failed requests, unless SIGKILL arrives first
    return cut_short


def join_processes(server: Server, daemon: Daemon, config: Config) -> KillRelay | None:
    """Join the other processes of this gateway, which share its clients; return None if the directory is unusable.

    Without it the process serves, but a KILL that reaches it has an effect on its own connections alone, and it does
    not know which requests the other processes have sent.
    """
    from tealwing.upgrade import shared_sent_ids
    from tealwing.upgrade.kill_relay import KillRelay
    from tealwing.upgrade.process_directory import ProcessDirectory, ProcessDirectoryError

    host, port = server.address
    path = config.temporary_directory / f"tealwing-{host}-{port}"
    directory = ProcessDirectory(path)
    try:
        relay = KillRelay(directory, directory.register(), server.apply_kill)
        relay.start()
    except (ProcessDirectoryError, ThreadUnavailableError) as error:
        log.event("kill_relay_unavailable", error=str(error))
        return None
    server.share_clients(relay.process, relay)
    try:
        daemon.share_sent_ids(shared_sent_ids.open_shared(path))
    except OSError as error:
        log.event("sent_ids_not_shared", error=str(error))
    log.event("kill_relay", process=relay.process)
    return relay


def apply_settings(server: Server, config: Config, settings: interface.Settings) -> None:
    """Have the server parse new requests under the settings, with as many threads as they allow."""
    server.apply_settings(settings, replace(config, settings=settings).max_threads)


class OperatorsFileError(Exception):
    """The operators' file is unusable; the text has one line for each problem."""


def apply_operators_file(daemon: Daemon, server: Server, conf: str) -> None:
    """Read and apply the operators' file; only the packages of its sections are imported.

    Raises OperatorsFileError.
    """
    from tealwing.conf import reader

    try:
        read = reader.read(conf)
        daemon.apply_operators_file(read.records)
    except ValueError as error:  # its contents are invalid, or don't fit the platform's settings
        raise OperatorsFileError(str(error)) from error
    server.on_unread_age = daemon.record_unread_age if "levels" in read.records else None
    server.gate = daemon.gate
    log.event("operators_file", path=conf, sections=sorted(read.records))


def reload(daemon: Daemon, server: Server, conf: str | None, log_failures: bool = True) -> bool:
    """Read the configuration and the operators' file again; return whether both were applied.

    An unusable file changes nothing and is logged if `log_failures`. A file is applied completely or not at all: it is
    read and checked before anything changes.
    """
    good = True
    try:
        daemon.reconfigure(load(os.environ))
    except ConfigRejectedError as error:
        if log_failures:
            log.event("config_rejected", why=error.reason, remedy=error.remedy)
        good = False
    except (ConfigError, OSError) as error:
        if log_failures:
            log.event("configuration_unusable", error=str(error))
        good = False
    try:
        if conf is not None:
            apply_operators_file(daemon, server, conf)
    except OperatorsFileError as error:
        if log_failures:
            log.event("operators_file_unusable", path=conf, problems=str(error).splitlines())
        good = False
    return good


def next_signal(limit: float | None) -> int | None:
    """Wait for the next of SIGNALS and return it; None if none arrives within limit seconds.

    Does not use `signal.sigtimedwait`: if that is interrupted after its timeout, as by a stop of the process, CPython
    returns a signal that was never sent.
    """
    if limit is not None:
        until = time.monotonic() + limit
        while not signal.sigpending() & SIGNALS:
            left = until - time.monotonic()
            if left <= 0:
                return None
            time.sleep(min(left, SIGNAL_POLL_INTERVAL))
    return signal.sigwaitinfo(SIGNALS).si_signo


def block_signals() -> None:
    """Block SIGNALS until `serve` waits for them; called before any thread starts or the configuration is read.

    The shell that starts the program ignores SIGHUP, whose default action would end the process during its start. A
    SIGHUP that was ignored before this call is no loss, as the configuration is read afterwards. The signals are
    blocked before the default action of SIGHUP is restored: a blocked signal stays pending, so at no moment does the
    default action apply.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


def gateway(conf: str | None = None) -> int:
    """Run the gateway and return its exit code; 1 if a file is unusable, with the reason on standard error."""
    block_signals()
    threading.stack_size(STACK_SIZE)
    sys.setswitchinterval(SWITCH_INTERVAL)
    try:
        serve(load(os.environ), conf)
    except (ConfigError, OSError) as error:
        print(f"tealwing: {' '.join(str(error).split())}", file=sys.stderr)
        return 1
    except OperatorsFileError as error:
        print(error, file=sys.stderr)
        return 1
    return 0
