"""The README's library example runs as it stands."""

from __future__ import annotations

import re
from pathlib import Path

README = Path(__file__).parent.parent / "README.md"


def test_the_library_example() -> None:
    (example,) = re.findall(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    names: dict[str, object] = {}
    exec(example, names)
    assert names["engine"] in (7, 8)


def test_each_test_that_the_page_of_endings_names_exists() -> None:
    # guards the page: a test that is renamed or gone would leave a crossing that nobody forces
    tests = Path(__file__).parent
    page = (README.parent / "docs" / "endings.md").read_text()
    named = re.findall(r"`(test_\w+\.py)(?:::(test_\w+))?`", page)
    assert len(named) > 50
    for file, test in named:
        text = (tests / file).read_text()
        assert not test or re.search(rf"^(?:    )?def {test}\(", text, re.MULTILINE), f"{file}::{test}"
