"""Run the entry host's daemon: ``python -m lacewingcross.gateway``.

The libraries of the command line are not imported here: with them a host would take
1.5 times as long to start and use more memory.
"""

import sys

from ..errors import UserError
from .app import main

if __name__ == "__main__":
    try:
        main()
    except UserError as exc:
        print(f"error: {exc}", file=sys.stderr)
        sys.exit(1)
