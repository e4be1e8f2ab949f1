"""Processor time of one statement through a real gateway process, by the number of engines in its list."""

from __future__ import annotations

import statistics

from benchmarks.capacity.fitting import fit
from benchmarks.capacity.gateway_process import Engines, GatewayProcess
from benchmarks.capacity.records import Measured, Options, Point, Series
from tests.peers import Client

NAME = "statement"
SUMMARY = "processor time of one statement through a real gateway process, by the engines in its list"
SIZES = (8, 32, 128, 512, 1024, 2100)
SMALL = (8, 16, 32, 64, 128)
BLOCKS, BLOCK = 9, 60  # statements are sent in blocks; the median block counts
SMALL_BLOCKS, SMALL_BLOCK = 3, 15
PEERS = 1100  # gateways of the fleet by the settings


def measure(options: Options) -> Measured:
    """Measure statements at each number of engines."""
    sizes = SMALL if options.small else SIZES
    blocks, block = (SMALL_BLOCKS, SMALL_BLOCK) if options.small else (BLOCKS, BLOCK)
    times, connections = [], []
    for size in sizes:
        engines = Engines(size)
        with GatewayProcess(engines, gateways=PEERS) as gateway:
            client = Client(gateway.address)
            gateway.statements(client, block)
            spent = [gateway.statements(client, block) / block for _ in range(blocks)]
            times.append(Point(size, statistics.median(spent) * 1e6))
            connections.append(Point(size, float(engines.accepted)))
        engines.close()
    asked = (blocks + 1) * block
    return Measured(
        NAME, "engines", sizes,
        (
            Series("processor time", "us a statement", tuple(times), fit(times)),
            Series("connections opened to engines", f"of {asked} statements", tuple(connections), None),
        ),
        ("one client, one statement after another; engines answer at once",),
    )  # fmt: skip
