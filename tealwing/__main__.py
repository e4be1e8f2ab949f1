"""The command `tealwing`, and `python -m tealwing`. With no argument it is the gateway."""

from __future__ import annotations

import os
import sys


def main() -> int:
    """Run what the arguments say; the gateway alone imports nothing that other commands need."""
    if len(sys.argv) > 1:
        from tealwing.commands import root

        return root.main()
    from tealwing import service

    return service.gateway(os.environ.get("TEALWING_CONF") or None)


if __name__ == "__main__":
    sys.exit(main())
