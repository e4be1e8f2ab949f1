"""Resources that an idle client occupies in a real gateway, and the cost of all clients reconnecting at once."""

from __future__ import annotations

import socket
import time

from benchmarks.capacity.fitting import fit
from benchmarks.capacity.gateway_process import Engines, GatewayProcess
from benchmarks.capacity.records import CapacityError, Measured, Options, Point, Series
from tealwing.mysql import packets

NAME = "clients"
SUMMARY = "bytes, descriptors and threads of a client at rest, and the cost of a reconnection, by connections"
SIZES = (500, 1000, 2000, 4000, 9000)
SMALL = (25, 50, 100, 200, 400)
ENGINES = 8
HEADROOM = 4  # descriptors in the gateway's settings per client; clients may use a third of them
SETTLE = 1.0  # s from the last login to the reading of memory
SOURCES = 8  # loopback addresses from which clients connect
LIMIT = 10.0  # s that a client waits for a connection or an answer
LOGIN = packets.packet(1, (0xA20D).to_bytes(4, "little") + bytes(28) + b"app\0\0reports\0")  # user app, no password
PING = packets.packet(0, b"\x0e")


def _connect(address: tuple[str, int], number: int) -> socket.socket:
    """Connect a client, log it in and have a ping answered; the client is idle from then on."""
    sock = socket.create_connection(address, LIMIT, source_address=(f"127.0.0.{2 + number % SOURCES}", 0))
    sock.sendall(LOGIN + PING)
    parser, answers = packets.Parser(), 0
    while answers < 3:  # the greeting, the answers to the login and to the ping
        data = sock.recv(4096)
        if not data:
            raise CapacityError(f"the gateway closed the connection of client {number}: it has no free descriptor")
        parser.feed(data)
        while parser.next() is not None:
            answers += 1
    return sock


def _measure_clients(size: int) -> tuple[float, float, int, int]:
    """Memory (bytes) and processor time (us) per client, and the descriptors and threads that all clients added."""
    engines = Engines(ENGINES)
    with GatewayProcess(engines, sockets=HEADROOM * size + 256) as gateway:
        warm = [_connect(gateway.address, number) for number in range(20)]
        time.sleep(SETTLE)
        before = gateway.resident_kilobytes(), gateway.descriptors(), gateway.threads()
        begun = gateway.processor_seconds()
        clients = [_connect(gateway.address, number) for number in range(size)]
        spent = gateway.processor_seconds() - begun
        time.sleep(SETTLE)
        memory = (gateway.resident_kilobytes() - before[0]) * 1024 / size
        held = gateway.descriptors() - before[1]
        threads = gateway.threads() - before[2]
        for sock in warm + clients:
            sock.close()
    engines.close()
    return memory, spent / size * 1e6, held, threads


def measure(options: Options) -> Measured:
    """Measure clients at each size."""
    sizes = SMALL if options.small else SIZES
    rows = [_measure_clients(size) for size in sizes]
    names = ("memory", "connect, login and ping", "descriptors", "threads")
    units = ("bytes a client", "us of processor time a client", "in all", "in all")
    series = []
    for column, (name, unit) in enumerate(zip(names, units, strict=True)):
        points = tuple(Point(size, float(row[column])) for size, row in zip(sizes, rows, strict=True))
        series.append(Series(name, unit, points, fit(points)))
    return Measured(NAME, "connections", sizes, tuple(series), (f"limits.sockets {HEADROOM} times the clients",))
