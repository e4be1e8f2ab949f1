"""Where the gateway's configuration is read, checked and given its defaults: LB_* and the file LB_CONFIG."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from tealwing import descriptors, interface, wire
from tealwing.coordinator import updates
from tealwing.sockets import Address

SOCKETS = 1024  # descriptors, where the file names no limit
MAX_CORES = 1024  # beyond which a limit is a mistake
CORES = 1.0  # of the processor, where the file names no limit
# tasks that the gateways of one deployment may fill with commands under way, should they all share one machine: a
# quarter of Linux's usual kernel.pid_max of 32,768, as each has further threads and other programs want theirs
TASKS = 8192
BUSIEST = 4  # times its even share of TASKS for one gateway: a few see several times the mean, so all stay near TASKS
MIN_THREADS = 128  # commands under way at once that a gateway can take however many there are: some 5 MB of stacks


class ConfigError(ValueError):
    """A configuration that can't be used; the message names the key."""


class ConfigRejectedError(ConfigError):
    """Settings of the configuration that what the fleet has agreed on goes before; says what an operator can do."""

    def __init__(self, reason: str, remedy: str) -> None:
        super().__init__(f"{reason}; {remedy}")
        self.reason, self.remedy = reason, remedy


@dataclass(frozen=True, slots=True)
class Config:
    """All that a gateway is told at its start."""

    name: str
    listen: Address
    coordinator: Address
    seed: int
    sockets: int
    cores: float
    settings: interface.Settings
    known: tuple[updates.Update, ...]
    index: int
    accept_fd: int | None = None  # the clients' listening socket, handed over by the platform
    admin: Address | None = None  # the operators' second address

    @property
    def descriptors(self) -> descriptors.Budget:
        """Who may hold how many descriptors."""
        return descriptors.budget(self.sockets)

    @property
    def max_clients(self) -> int:
        """Client connections held at once."""
        return self.descriptors.clients

    @property
    def max_threads(self) -> int:
        """Threads that serve clients at most: one for each command under way, whatever the number of clients."""
        return min(self.max_clients, max(MIN_THREADS, BUSIEST * TASKS // max(1, self.settings.gateway_count)))


def address(text: Any, key: str, min_port: int = 1) -> Address:
    """HOST:PORT as a pair, the port at least so much."""
    try:
        return updates.address(text, min_port)
    except updates.UpdateError as error:
        raise ConfigError(f"{key}: {error}") from None


def _section(data: Any, key: str) -> dict[str, Any]:
    if not isinstance(data, dict):
        raise ConfigError(f"{key}: missing or not an object")
    return data


def load(environ: Mapping[str, str]) -> Config:
    """The configuration; LB_NAME and LB_LISTEN, where set, go before the file."""
    if not environ.get("LB_CONFIG"):
        raise ConfigError("LB_CONFIG: not set")
    path = environ["LB_CONFIG"]
    inherited = environ.get("LB_ACCEPT_FD") or None
    if inherited is not None and not (inherited.isdecimal() and 3 <= int(inherited) < 65536):
        raise ConfigError(f"LB_ACCEPT_FD: {inherited!r} is not the number of an open descriptor above 2")
    try:
        with Path(path).open("rb") as file:
            data = _section(orjson.loads(file.read()), "LB_CONFIG")
    except OSError as error:
        raise ConfigError(f"LB_CONFIG: {path}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"LB_CONFIG: {path} is not JSON: {error}") from None
    name = environ.get("LB_NAME") or data.get("name")
    if not isinstance(name, str) or not name:
        raise ConfigError("name: missing, in LB_NAME and in the file")
    listen = environ.get("LB_LISTEN") or data.get("listen")
    seed = data.get("seed", "")
    try:
        number = int(seed, 16)
    except (TypeError, ValueError):
        raise ConfigError(f"seed: {seed!r} is not a hexadecimal number") from None
    limits = _section(data.get("limits", {}), "limits")
    sockets, cores = limits.get("sockets", SOCKETS), limits.get("cores", CORES)
    if not isinstance(sockets, int) or isinstance(sockets, bool) or sockets < descriptors.MIN_DESCRIPTORS:
        raise ConfigError(f"limits.sockets: {sockets!r} is not a whole number of {descriptors.MIN_DESCRIPTORS} or more")
    if not isinstance(cores, (int, float)) or isinstance(cores, bool) or not 0 < cores <= MAX_CORES:
        raise ConfigError(f"limits.cores: {cores!r} is not a number above 0 and up to {MAX_CORES}")
    facts = _section(data.get("settings"), "settings")
    try:
        settings = wire.parse_settings(orjson.dumps(facts))
    except (ValueError, wire.WireError) as error:
        raise ConfigError(f"settings: {error}") from None
    try:
        index, events = updates.cached_updates(data.get("known"), settings)
    except updates.UpdateError as error:
        raise ConfigError(f"known: {error}") from None
    admin = environ.get("LB_ADMIN") or data.get("admin")
    return Config(
        name=name,
        listen=address(listen, "listen", 0),  # port 0: any that is free
        coordinator=address(data.get("coordinator"), "coordinator"),
        seed=number,
        sockets=sockets,
        cores=float(cores),
        settings=settings,
        known=events,
        index=index,
        accept_fd=int(inherited) if inherited is not None else None,
        admin=address(admin, "admin", 0) if admin else None,
    )
