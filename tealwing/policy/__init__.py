"""Every decision of a query gateway. Read: tables, rates, engines, fleet, placement, attempts, gateway.

A query goes to the engine of the smallest marginal productivity index (MPI, Niño-Mora), or is refused at
once when none is below its class's nu. Equation numbers are the paper's; docs/design.md tells the rest.
"""

from tealwing.policy.engines import Engine as Engine
from tealwing.policy.gateway import Gateway as Gateway
from tealwing.policy.tables import mpi_table as mpi_table
