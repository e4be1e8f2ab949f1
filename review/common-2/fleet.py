"""Gateways with the sections `peers` and `replica`, and calls of their control addresses with the project's own client.

Imported after `rig`; it runs on the project's own environment, as the control calls are msgpack frames.
"""

from __future__ import annotations

import json
import os
import socket
import sys
import time
from pathlib import Path
from typing import Any

import rig

SITE = rig.ROOT / "review" / "common-2" / "site"
sys.path[:0] = [str(rig.ROOT), str(SITE)]

try:
    import xxhash  # noqa: F401 - the gateways of a fleet need it

    from tealwing.peers.control import RemoteCallError, call_control
except ImportError as error:
    print(f"the case could not run: {error}; run review/build-2.sh first", file=sys.stderr)
    os._exit(rig.NOT_RUN)

FIRST_PORT, PORTS = 12_000, 18_000  # below the ephemeral range, so that no outgoing connection takes one
_next = FIRST_PORT + os.getpid() * 61 % PORTS


def free_port() -> int:
    """Return a port of 127.0.0.1 that nobody has bound, each time another one."""
    global _next
    for _ in range(PORTS):
        _next = FIRST_PORT + (_next + 1 - FIRST_PORT) % PORTS
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", _next))
            except OSError:
                continue
            return _next
    raise rig.NotRunError("no port is free")


def start_gateways(
    names: tuple[str, ...], folder: Path, record: rig.Record, config: dict[str, Any], sections: str = ""
) -> tuple[list[rig.Gateway], list[int]]:
    """Start gateways that share a replicated state; return them and the ports of their control addresses."""
    links, controls = ([free_port() for _ in names] for _ in range(2))
    members = "".join(f"    member {name} 127.0.0.1:{link}\n" for name, link in zip(names, links, strict=True))
    gateways = []
    for name, control in zip(names, controls, strict=True):
        conf = f"peers\n    name {name}\n{members}    control 127.0.0.1:{control}\n"
        conf += f"replica\n    folder {folder / name / 'replica'}\n{sections}"
        gateway = rig.Gateway(name, folder, record, dict(config), conf)
        gateway.extra = {"PYTHONPATH": str(SITE)}
        gateways.append(gateway)
        gateway.start()
    return gateways, controls


def propose_settings(record: rig.Record, controls: list[int], settings: dict[str, Any]) -> None:
    """Have the operator give the fleet a version of the settings, and wait until each gateway has it."""
    found = call(controls[0], "replica.settings", 20.0, text=json.dumps(settings).encode(), wait_s=5.0)
    effects = {each["Name"]: each["Effect"] for each in settings["Grades"]}
    record.add("operator", f"proposes settings with {effects}: {found}")
    for control in controls:
        call(control, "replica.get", table="settings", key=str(found["version"]))


def call(control: int, name: str, limit: float = 10.0, **fields: Any) -> dict[str, Any]:
    """Make a control call, again until the gateway answers. Raises NotRunError."""
    until, why = time.monotonic() + limit, ""
    while time.monotonic() < until:
        try:
            found = call_control(("127.0.0.1", control), name, limit, **fields)
            if found.get("word", "ok") == "ok":
                return found
            why = str(found)
        except (RemoteCallError, OSError) as error:
            why = str(error)
        time.sleep(0.1)
    raise rig.NotRunError(f"the control call {name} did not succeed: {why}")
