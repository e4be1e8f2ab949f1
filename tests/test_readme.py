"""Tests that the README's library example runs, and that the tests named in docs/endings.md exist."""

from __future__ import annotations

import re
from pathlib import Path

README = Path(__file__).parent.parent / "README.md"


def test_readme_library_example_runs() -> None:
    (example,) = re.findall(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    names: dict[str, object] = {}
    exec(example, names)
    assert names["engine"] in (7, 8)


def test_each_test_named_on_endings_page_exists() -> None:
    # A test that is renamed or removed would leave one of the page's race conditions untested.
    tests = Path(__file__).parent
    page = (README.parent / "docs" / "endings.md").read_text()
    named = re.findall(r"`(test_\w+\.py)(?:::(test_\w+))?`", page)
    assert len(named) > 50
    for file, test in named:
        text = (tests / file).read_text()
        assert not test or re.search(rf"^(?:    )?def {test}\(", text, re.MULTILINE), f"{file}::{test} does not exist"
