"""Run the entry host's daemon: ``python -m lacewingcross.gateway``.

The libraries of the command line are not imported here: with them a host would take
1.5 times as long to start and use more memory.
"""

import signal
import sys

# SIGHUP ends a process that has no handler for it yet. The settings are read after
# this, so a change of them that it announces is not missed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from ..errors import UserError  # noqa: E402
from .app import main  # noqa: E402

if __name__ == "__main__":
    try:
        main()
    except UserError as exc:
        print(f"error: {exc}", file=sys.stderr)
        sys.exit(1)
