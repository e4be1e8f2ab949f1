"""The program: one gateway, from its configuration to the end of its drain."""

from __future__ import annotations

import gc
import os
import signal
import sys
import threading
import time

from tealwing import log
from tealwing.config import Config, ConfigError, load
from tealwing.gateway.daemon import Daemon
from tealwing.mysql.server import Server

STACK = 256 * 1024  # bytes a thread
SWITCH = 0.1  # s that a thread waits before it asks for the interpreter: hundreds that ask are work too
COLLECT = 5000  # objects made between collections: a request's own cycle is a few dozen
SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}
STILL_COMING = 0.7  # s after SIGTERM for which clients still connect and ask
LONGEST_WAIT = 3.0  # s that the platform waits for the longest deadline at most, and STILL_COMING more
LAST_WORDS = 0.4  # s before the platform's SIGKILL at which what is open fails


def serve(config: Config) -> None:
    """Serve until SIGTERM, then finish all that was taken."""
    daemon = Daemon(config)
    server = Server(config.listen, config.most_clients, config.settings, daemon.open)
    daemon.start()
    server.start()
    kinds = {kind.name: kind.cores for kind in config.settings.kinds}
    gc.freeze()  # what is here now stays: collections need not walk it
    gc.set_threshold(COLLECT)
    log.event("started", gateway=config.name, listen=server.address, kinds=kinds)

    while signal.sigwait(SIGNALS) == signal.SIGHUP:
        reload(daemon)
    stopped = time.monotonic()
    log.event("draining")
    time.sleep(STILL_COMING)
    server.stop_listening()
    longest = min(max(cls.deadline for cls in config.settings.classes), LONGEST_WAIT)
    end = stopped + longest + STILL_COMING - LAST_WORDS
    if not server.finish(end - time.monotonic()):
        log.event("drain_cut_short", failed=daemon.fail_open())
        server.finish(LAST_WORDS / 2)
    log.event("stopped", after=time.monotonic() - stopped)


def reload(daemon: Daemon) -> None:
    """Read the configuration again; one that can't be used is logged, and the old one stays."""
    try:
        daemon.reconfigure(load(os.environ))
    except (ConfigError, OSError) as error:
        log.event("configuration_unusable", error=str(error))


def main() -> int:
    """Start the program; bad configuration ends it with one line on standard error."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # for sigwait, and before any thread starts
    threading.stack_size(STACK)
    sys.setswitchinterval(SWITCH)
    try:
        config = load(os.environ)
        serve(config)
    except (ConfigError, OSError) as error:
        print(f"tealwing: {' '.join(str(error).split())}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
