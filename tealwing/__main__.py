"""Entry point of `tealwing` and `python -m tealwing`. Without an argument it runs the gateway."""

from __future__ import annotations

import os
import sys


def main() -> int:
    """Run the command that the arguments name. Without one, only the gateway's modules are imported, to save memory."""
    if len(sys.argv) > 1:
        from tealwing.commands import root

        return root.main()
    from tealwing import service

    return service.gateway(os.environ.get("TEALWING_CONF") or None)


if __name__ == "__main__":
    sys.exit(main())
