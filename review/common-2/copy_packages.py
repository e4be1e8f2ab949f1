"""Copy the packages that requirements.txt pins from the environment that runs this into another one."""

from __future__ import annotations

import importlib.metadata
import shutil
import sys
import sysconfig
from pathlib import Path


def main() -> None:
    """Copy the files of each pinned package; the argument is the folder of the other environment."""
    target = Path(sys.argv[1])
    found = sysconfig.get_path("purelib", vars={"base": str(target), "platbase": str(target)})
    for line in Path("requirements.txt").read_text().splitlines():
        name = line.partition("==")[0].strip()
        if not name or name.startswith("#"):
            continue
        for file in importlib.metadata.distribution(name).files or ():
            if file.parts[0] == "..":  # commands of the package
                continue
            copy = Path(found) / file
            copy.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(Path(str(file.locate())), copy)


if __name__ == "__main__":
    main()
