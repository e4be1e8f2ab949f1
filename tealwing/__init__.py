"""tealwing: a query gateway, whose decisions follow Niño-Mora's marginal productivity index."""

from tealwing.policy import Gateway, mpi_table

__all__ = ["Gateway", "mpi_table"]
__version__ = "0.1.0"
