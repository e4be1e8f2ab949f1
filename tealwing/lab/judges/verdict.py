"""The violation that a judge reports."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation in a trial: the rule, the time and what was observed."""

    rule: str
    at: float  # s of the trial
    what: str

    def __str__(self) -> str:
        return f"{self.at:9.3f} s  {self.rule}: {self.what}"
