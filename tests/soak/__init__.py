"""A soak test of one gateway process: concurrent seeded faults, then a check of what clients and engines received.

Clients with an open connection keep sending until SIGKILL, which comes at the earliest moment that the operators'
rules allow. Signals come in series, and some runs add many idle clients. Each finding is a sentence about one broken
rule; a run that kept all rules has none.
"""

from __future__ import annotations

from tests.soak.run import Soak

__all__ = ["Soak"]
