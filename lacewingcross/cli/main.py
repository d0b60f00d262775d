"""Entry point of the command line."""

import sys

import defopt

from .. import __version__
from ..errors import UserError
from . import daemons, resources
from .accounts import accounts
from .blocks import pack_blocks
from .demo import demo
from .examples import example
from .messages import messages
from .reports import report
from .servers import servers
from .status import status

EXIT_USER_ERROR = 1
EXIT_NOT_IN_FORCE = 3
EXIT_INTERRUPTED = 130
_NOT_IN_FORCE_CODES = ("not-in-force", "not-drained", "unavailable", "unknown-outcome")

COMMANDS = {
    "host": daemons.host,
    "standin": {"platform": daemons.platform, "backend": daemons.backend},
    "apply": resources.apply,
    "get": resources.get,
    "watch": resources.watch,
    "status": status,
    "drain": resources.drain,
    "undrain": resources.undrain,
    "delete": resources.delete,
    "explain": resources.explain,
    "export": resources.export,
    "check-config": resources.check_config,
    "pack-blocks": pack_blocks,
    "report": report,
    "example": example,
    "demo": demo,
    "messages": messages,
    "accounts": accounts,
    "servers": servers,
}


def main(argv: list[str] | None = None) -> None:
    """Run one command.

    Exit status: 0 if done, 1 if refused with a coded error, 2 for wrong usage, 3 if
    the change is accepted or its outcome unknown, but it is not yet in force, or if the
    platform or a host is unavailable, 130 if interrupted.
    """
    try:
        defopt.run(
            COMMANDS,
            argv=argv,
            version=__version__,
            short={"file": "f", "output": "o", "wait": "w"},
            cli_options="has_default",
            no_negated_flags=True,
        )
    except UserError as exc:
        print(f"error: {exc}", file=sys.stderr)
        sys.exit(
            EXIT_NOT_IN_FORCE if exc.code in _NOT_IN_FORCE_CODES else EXIT_USER_ERROR
        )
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)
