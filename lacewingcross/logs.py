"""Logs: one line of key=value pairs for each event, on standard error."""

import signal
import sys

from loguru import logger

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
_NEEDS_QUOTES = frozenset(' "=\n\t')


def _format_value(value: object) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if not text or any(char in _NEEDS_QUOTES for char in text):
        text = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
        return f'"{text}"'
    return text


def setup(level: str = "INFO", **context: object) -> None:
    """Send events at or above `level` to standard error.

    Parameters
    ----------
    level : {"DEBUG", "INFO", "WARNING", "ERROR"}
        Lowest level that is written.
    **context : object
        Pairs added to every line, such as the host's id.
    """
    prefix = "".join(f" {key}={_format_value(val)}" for key, val in context.items())
    form = "ts={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level}" + prefix + " {message}"
    logger.remove()
    logger.add(sys.stderr, level=level, format=form, colorize=False, catch=True)


def switch_level_on_signal(level: str, **context: object) -> None:
    """Toggle between `level` and DEBUG on SIGUSR1."""
    state = {"debug": False}

    def toggle(_signum: int, _frame: object) -> None:
        state["debug"] = not state["debug"]
        setup("DEBUG" if state["debug"] else level, **context)

    signal.signal(signal.SIGUSR1, toggle)


def event(name: str, level: str = "INFO", **pairs: object) -> None:
    """Write one event.

    Parameters
    ----------
    name : str
        Stable event name, listed in ``docs/operators/logs.md``.
    level : str, default="INFO"
        Level of the line.
    **pairs : object
        What to say about the event.
    """
    parts = [f"event={name}"]
    parts.extend(f"{key}={_format_value(val)}" for key, val in pairs.items())
    logger.opt(raw=False).log(level, "{}", " ".join(parts))
