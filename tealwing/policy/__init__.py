"""All decisions of a query gateway, without I/O, clock or thread: `Gateway.handle(now, event)` returns actions.

A query goes to the engine of the smallest marginal productivity index (MPI, Niño-Mora), or is rejected
immediately if no index is below its class's rejection cost. docs/design.md has the model.

Read in this order: tables (the index, a pure function), rates, engines, requests, fleet, settings_change,
placement, attempts, gateway.

`Gateway` is one class in six modules, each a base class of the next, and a field belongs to the class whose
`__init__` sets it:

    Rates           settings, time, actions, traffic per class, mix in flight, learned capacity
    Fleet           engines, open requests, mean load report, slowdown, eligible engines
    SettingsChange  where the engines are once the settings were replaced
    Placement       service level, retry budget, ordering queues
    Attempts        no state; sending and outcomes
    Gateway         no state; the handlers of events

They stay one class: each decision reads fields of several of them for each engine, and separate objects would cost
attribute look-ups there. State that is used separately is an object of its own: `ClassTraffic`, `Engine`,
`ClassEstimate`, `SlowdownEstimate` and `RequestState`.
"""

from tealwing.policy.engines import Engine as Engine
from tealwing.policy.gateway import Gateway as Gateway
from tealwing.policy.tables import mpi_table as mpi_table
