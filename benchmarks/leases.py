"""Model-checks the leases; prints states, time and the mutations detected.

Example: python -m benchmarks.leases
"""

from __future__ import annotations

from tealwing.lab.models.explore import explore
from tealwing.lab.models.leases import Leases


def main() -> None:
    """Explore all models and print a line for each."""
    for name, model, depth in (
        ("leases", Leases(8), 11),
        ("leases, from a renewal under way", Leases(8, renewing=True), 11),
        ("drift-ignored", Leases(8, "drift-ignored", leaders=0, acts=0), 14),
        ("renewal-after-expiry, from there", Leases(8, "renewal-after-expiry", 0, 0, renewing=True), 11),
    ):
        print(f"{name}: {explore(model, depth, 1_000_000).text()}", flush=True)


if __name__ == "__main__":
    main()
