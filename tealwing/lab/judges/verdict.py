"""What a judge finds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Violation:
    """One thing that must not have happened: which rule, when, and what was seen."""

    rule: str
    at: float  # s of the trial
    what: str

    def __str__(self) -> str:
        return f"{self.at:9.3f} s  {self.rule}: {self.what}"
