"""The deployment that the laboratory models by default, with figures of the operators' brief."""

from __future__ import annotations

import numpy as np

from tealwing import interface as api
from tealwing.lab import engines

GB = 1024.0  # MB
MACHINES = ((8, 16 * GB, 0.61), (16, 32 * GB, 0.39))  # cores, memory in MB, share of the engines
WORK_AT_FULL_LOAD = 1.1  # work requested at load 1, relative to the cores: warm groups save the excess


def settings(gateways: int = 3) -> api.Settings:
    """The settings of each gateway."""

    def request_class(
        name: str,
        latency_objective: float,
        objective_per_work: float,
        deadline: float,
        priority_weight: float,
        threads: int,
        late_weight_share: float,
        effect: api.Idempotency,
        locks_tables: bool,
        waits: bool,
    ) -> api.RequestClass:
        window = 25.0 if effect is api.Idempotency.KEYED else 5.0
        return api.RequestClass(
            name,
            latency_objective,
            objective_per_work,
            deadline,
            priority_weight,
            late_weight_share,
            effect,
            api.IdempotencyScope.ALL,
            window,
            False,
            threads,
            None,
            None,
            locks_tables,
            waits,
        )

    safe, keyed = api.Idempotency.IDEMPOTENT, api.Idempotency.KEYED
    return api.Settings(
        instance_number=0,
        gateway_count=gateways,
        zone=0,
        zones=("bloemfontein",),
        machine_kinds=tuple(api.MachineKind(f"{cores}-core", cores, memory) for cores, memory, _ in MACHINES),
        classes=(
            request_class("lookup", 0.6, 1.5, 3.0, 1.0, 1, 0.0, safe, False, True),
            request_class("report", 3.0, 2.5, 20.0, 7.5, 3, 0.3, safe, False, False),
            request_class("load", 3.0, 2.5, 25.0, 10.0, 2, 0.6, keyed, True, False),
        ),
        limits=api.Limits(True, False, False, False, True, 3, 0.5, 0.25, 30.0, 100),
        rules=api.Rules(0.02, 10.0, 0.32, 13.0, 1.0, 2.0, 3.0, 0.0, None, 0.0, 0.0),
        prices=api.Prices(0.0, 0.03, 0.08),
        polls_discovery=False,
        report_fields=("queue", "inflight"),
        heeds_memory_grants=False,
        heeds_priorities=True,
        max_grant_share=0.4,
        progress_interval=1.0,
        reports_cost=False,
        memory_shortage_policy="page",
        clients_mark_retries=False,
        tick=0.005,
        tenants=("graan-koop", "veldsure"),
        tenant_quotas=(api.TenantQuota("graan-koop", 0.81, 80.0), api.TenantQuota("veldsure", 0.19, 19.0)),
    )


def draws(rng: np.random.Generator, servers: int) -> list[engines.EngineParameters]:
    """Draw engine parameters from the brief's ranges; the kinds keep their shares in any number of engines."""
    found = []
    for i in range(servers):
        cores, memory, _ = MACHINES[(i + 1) * MACHINES[1][2] % 1 < i * MACHINES[1][2] % 1]
        found.append(
            engines.EngineParameters(
                cores=cores,
                memory=memory,
                speed=float(rng.uniform(0.9, 1.1)),
                knee=float(rng.uniform(1.3, 2.2)),
                thrash=float(rng.uniform(0.45, 0.9)),
                disks=float(rng.uniform(0.4, 0.55)),
                page=float(rng.uniform(5.1, 8.1)),
                sessions=int(rng.integers(6, 11)),
                warm_groups=int(rng.integers(4, 7)),
                warm_gain=float(rng.uniform(0.41, 0.68)),
                report_every=float(rng.uniform(0.13, 0.7)),
                noise=float(rng.uniform(0.026, 0.14)),
            )
        )
    return found


def rate(draws_: list[engines.EngineParameters], mean_work: float, load: float) -> float:
    """Requests a second that put a load on these engines; load 1 is what they can just handle."""
    return load * WORK_AT_FULL_LOAD * sum(draw.cores * draw.speed for draw in draws_) / mean_work
