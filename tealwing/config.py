"""Reads and checks the gateway's configuration: the environment variables LB_* and the file named by LB_CONFIG."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from tealwing import descriptors, interface, memory, wire
from tealwing.coordinator import updates
from tealwing.sockets import Address

DEFAULT_TEMPORARY_DIRECTORY = "/tmp"  # if TMPDIR is not set
DEFAULT_SOCKETS = 1024  # descriptors, if the file gives no limit
LIMIT_KEYS = ("cores", "memory_mb", "sockets")  # of the file's object `limits`
MAX_CORES = 1024  # a higher limit is taken for a mistake
DEFAULT_CORES = 1.0  # processor cores, if the file gives no limit
UPGRADE_PROCESSES = 2  # that serve at once during an upgrade
MAX_MEMORY_MB = 1024 * 1024  # MB; a higher limit is taken for a mistake
# threads that serve commands in all gateways of one deployment, if they share one machine: a quarter of Linux's usual
# kernel.pid_max of 32,768, as each gateway has further threads and other programs need theirs
DEPLOYMENT_THREADS = 8192
# multiple of its even share of DEPLOYMENT_THREADS that one gateway may use: only a few gateways get several times the
# mean load, so the sum stays near DEPLOYMENT_THREADS
MAX_SHARE_MULTIPLE = 4
MIN_THREADS = 128  # concurrent commands of a gateway, however many gateways there are; some 5 MB of stacks


class ConfigError(ValueError):
    """The configuration is unusable; the message starts with the key."""


class ConfigRejectedError(ConfigError):
    """The configured settings changed while a version of the rules overrides them; `remedy` is the alternative."""

    def __init__(self, reason: str, remedy: str) -> None:
        super().__init__(f"{reason}; {remedy}")
        self.reason, self.remedy = reason, remedy


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one gateway."""

    name: str
    listen: Address
    coordinator: Address
    seed: int
    sockets: int
    cores: float
    settings: interface.Settings
    known: tuple[updates.Update, ...]
    index: int
    setting_keys: frozenset[str] = frozenset()  # that belong to every file, and are in this one
    memory_limit: int = memory.DEFAULT_LIMIT  # bytes
    accept_fd: int | None = None  # the listening socket for clients, inherited from the platform
    admin: Address | None = None  # the admin address, for operators
    temporary_directory: Path = Path(DEFAULT_TEMPORARY_DIRECTORY)  # shared by the processes of this gateway

    @property
    def descriptors(self) -> descriptors.Budget:
        """The descriptor budget: how many descriptors each use may hold."""
        return descriptors.budget(self.sockets)

    @property
    def process_memory_limit(self) -> int:
        """The limit in bytes of this process: processes that share clients have one limit together."""
        return self.memory_limit if self.accept_fd is None else self.memory_limit // UPGRADE_PROCESSES

    @property
    def memory(self) -> memory.Budget:
        """The memory budget: what commands, results and threads may take."""
        return memory.budget(self.process_memory_limit)

    @property
    def max_clients(self) -> int:
        """Maximum number of concurrent client connections."""
        return self.descriptors.clients

    @property
    def max_threads(self) -> int:
        """Maximum number of threads that serve clients: one for each command in progress, not for each client."""
        return min(
            self.max_clients,
            self.memory.threads,
            max(MIN_THREADS, MAX_SHARE_MULTIPLE * DEPLOYMENT_THREADS // max(1, self.settings.gateway_count)),
        )


def address(text: Any, key: str, min_port: int = 1) -> Address:
    """Return HOST:PORT as a pair; the port is at least min_port. Raises ConfigError, which names the key."""
    try:
        return updates.address(text, min_port)
    except updates.UpdateError as error:
        raise ConfigError(f"{key}: {error}") from None


def _section(data: Any, key: str) -> dict[str, Any]:
    if not isinstance(data, dict):
        raise ConfigError(f"{key}: missing or not an object: {data!r:.80}")
    return data


def _limit_keys(limits: dict[str, Any]) -> frozenset[str]:
    return frozenset(f"limits.{name}" for name in LIMIT_KEYS if limits.get(name) is not None)


def load(environ: Mapping[str, str]) -> Config:
    """Read the configuration; LB_NAME, LB_LISTEN and LB_ADMIN override the file's keys. Raises ConfigError."""
    if not environ.get("LB_CONFIG"):
        raise ConfigError("LB_CONFIG: not set; it must name the configuration file")
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
        raise ConfigError(f"name: {name!r} is not a non-empty string; set LB_NAME or the file's key name")
    listen = environ.get("LB_LISTEN") or data.get("listen")
    seed = data.get("seed", "")
    try:
        number = int(seed, 16)
    except (TypeError, ValueError):
        raise ConfigError(f"seed: {seed!r} is not a hexadecimal number") from None
    limits = _section(data.get("limits", {}), "limits")
    sockets, cores = limits.get("sockets", DEFAULT_SOCKETS), limits.get("cores", DEFAULT_CORES)
    if not isinstance(sockets, int) or isinstance(sockets, bool) or sockets < descriptors.MIN_DESCRIPTORS:
        raise ConfigError(f"limits.sockets: {sockets!r} is not a whole number of {descriptors.MIN_DESCRIPTORS} or more")
    if not isinstance(cores, (int, float)) or isinstance(cores, bool) or not 0 < cores <= MAX_CORES:
        raise ConfigError(f"limits.cores: {cores!r} is not a number above 0 and up to {MAX_CORES}")
    memory_mb = limits.get("memory_mb", memory.DEFAULT_LIMIT // memory.MIB)
    if not isinstance(memory_mb, (int, float)) or isinstance(memory_mb, bool) or not 0 < memory_mb <= MAX_MEMORY_MB:
        raise ConfigError(f"limits.memory_mb: {memory_mb!r} is not a number above 0 and up to {MAX_MEMORY_MB}")
    settings_data = _section(data.get("settings"), "settings")
    try:
        settings = wire.parse_settings(orjson.dumps(settings_data))
    except (ValueError, wire.WireError) as error:
        raise ConfigError(f"settings: {error}") from None
    try:
        index, events = updates.cached_updates(data.get("known"), settings)
    except updates.UpdateError as error:
        raise ConfigError(f"known: {error}") from None
    admin = environ.get("LB_ADMIN") or data.get("admin")
    return Config(
        name=name,
        listen=address(listen, "listen", 0),  # port 0: any free port
        coordinator=address(data.get("coordinator"), "coordinator"),
        seed=number,
        sockets=sockets,
        cores=float(cores),
        memory_limit=int(memory_mb * memory.MIB),
        settings=settings,
        setting_keys=wire.unmarked_keys(settings_data) | _limit_keys(limits),
        known=events,
        index=index,
        accept_fd=int(inherited) if inherited is not None else None,
        admin=address(admin, "admin", 0) if admin else None,
        temporary_directory=Path(environ.get("TMPDIR") or DEFAULT_TEMPORARY_DIRECTORY),
    )
