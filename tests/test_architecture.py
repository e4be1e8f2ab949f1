"""Tests that the modules and functions named on the architecture page exist."""

from __future__ import annotations

import importlib
import re
from pathlib import Path

import pytest

PAGE = Path(__file__).parent.parent / "docs" / "architecture.md"
NAMES = sorted(set(re.findall(r"`(tealwing(?:\.\w+)+)`", PAGE.read_text())))


def test_architecture_page_names_modules_and_functions() -> None:
    assert len(NAMES) > 30


@pytest.mark.parametrize("name", NAMES)
def test_name_on_architecture_page_exists(name: str) -> None:
    parts = name.split(".")
    found = importlib.import_module(parts[0])
    for depth, part in enumerate(parts[1:], 2):
        if not hasattr(found, part):
            importlib.import_module(".".join(parts[:depth]))
        found = getattr(found, part)
