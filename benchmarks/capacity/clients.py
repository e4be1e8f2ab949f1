"""What a client at rest holds of a real gateway, and what it costs when all come again within some seconds."""

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
HEADROOM = 4  # times the clients: descriptors that the gateway's settings allow, as clients get a third
SETTLE = 1.0  # s after the last login until memory is read
SOURCES = 8  # loopback addresses that clients connect from
LIMIT = 10.0  # s that a client waits for an answer
LOGIN = packets.packet(1, (0xA20D).to_bytes(4, "little") + bytes(28) + b"app\0\0reports\0")
PING = packets.packet(0, b"\x0e")


def _connect(address: tuple[str, int], number: int) -> socket.socket:
    """A client that has logged in and has had a ping answered: from then on it rests."""
    sock = socket.create_connection(address, LIMIT, source_address=(f"127.0.0.{2 + number % SOURCES}", 0))
    sock.sendall(LOGIN + PING)
    parser, answers = packets.Parser(), 0
    while answers < 3:  # the greeting, and two answers
        data = sock.recv(4096)
        if not data:
            raise CapacityError(f"client {number} was turned away: the gateway has no descriptor for it")
        parser.feed(data)
        while parser.next() is not None:
            answers += 1
    return sock


def _one(size: int) -> tuple[float, float, int, int]:
    """Bytes a client, processor us of a connect and login, descriptors and threads that they added."""
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
    """Measure at each size."""
    sizes = SMALL if options.small else SIZES
    rows = [_one(size) for size in sizes]
    names = ("memory", "connect, login and ping", "descriptors", "threads")
    units = ("bytes a client", "us of processor time a client", "in all", "in all")
    series = []
    for column, (name, unit) in enumerate(zip(names, units, strict=True)):
        points = tuple(Point(size, float(row[column])) for size, row in zip(sizes, rows, strict=True))
        series.append(Series(name, unit, points, fit(points)))
    return Measured(NAME, "connections", sizes, tuple(series), (f"limits.sockets {HEADROOM} times the clients",))
