"""Structured logs: one line of key=value pairs for each event."""

import asyncio
import os
import signal
import sys
import traceback
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import TextIO

from loguru import logger

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
# How long lines are collected, in seconds, to be written with one system call.
FLUSH_S = 0.05
MAX_BATCH_LINES = 500
# Longer values are cut, so that one object of another program cannot fill the log.
MAX_VALUE_CHARS = 4000
_NEEDS_QUOTES = frozenset(' "=\n\t')


def _format_value(value: object) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if len(text) > MAX_VALUE_CHARS:
        text = text[:MAX_VALUE_CHARS] + "..."
    if not text or any(char in _NEEDS_QUOTES for char in text):
        text = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
        return f'"{text}"'
    return text


def setup(level: str = "INFO", **context: object) -> None:
    """Write events at or above `level` to standard error, with blocking writes.

    Parameters
    ----------
    level : {"DEBUG", "INFO", "WARNING", "ERROR"}
        Lowest level that is written.
    **context : object
        Key-value pairs added to every line, such as the id of the host.
    """
    logger.remove()
    _add(sys.stderr, level, context)


def _add(
    sink: TextIO | Callable[[str], None], level: str, context: dict[str, object]
) -> None:
    prefix = "".join(f" {key}={_format_value(val)}" for key, val in context.items())
    line_format = (
        "ts={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level}" + prefix + " {message}"
    )
    logger.add(sink, level=level, format=line_format, colorize=False, catch=True)


class BoundedOutput:
    """Write lines to a file descriptor without blocking.

    Guards against a reader of the log output that stops or is slow. A blocking write
    would then stop the whole process and every request in it. Lines are therefore kept
    in a bounded queue, and only as much is written as the descriptor accepts. Lines
    that do not fit are dropped and counted, and the count is written as soon as there
    is room.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is set to non-blocking mode.
    max_lines : int, default=5000
        Limit on queued lines; the default holds about ten seconds of output of one
        busy host.

    Attributes
    ----------
    dropped : int
        Dropped lines whose count has not been written yet.
    """

    __slots__ = (
        "_descriptor",
        "_lines",
        "_max_lines",
        "_scheduled",
        "_unwritten",
        "dropped",
    )

    def __init__(self, descriptor: int, max_lines: int = 5000) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: deque[str] = deque()
        self._max_lines = max_lines
        self._unwritten = b""
        self._scheduled = False
        self.dropped = 0

    def write(self, line: str) -> None:
        """Queue a line, which is written within `FLUSH_S` if the reader keeps up."""
        if len(self._lines) >= self._max_lines:
            self.dropped += 1
            return
        self._lines.append(line)
        if self._scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._scheduled = True
        loop.call_later(FLUSH_S, self._flush_again)

    def _flush_again(self) -> None:
        self._scheduled = False
        self.flush()
        if self._unwritten or self._lines:
            self._scheduled = True
            asyncio.get_running_loop().call_later(FLUSH_S, self._flush_again)

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._next_batch()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end, so the lines are lost and the error
                # cannot be logged either.
                self.dropped += len(self._lines) + self._unwritten.count(b"\n")
                self._lines.clear()
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    def _next_batch(self) -> bytes:
        lines = []
        while self._lines and len(lines) < MAX_BATCH_LINES:
            lines.append(self._lines.popleft())
        if self.dropped:
            lines.append(
                f"level=WARNING event=log-lines-dropped lines={self.dropped}\n"
            )
            self.dropped = 0
        return "".join(lines).encode(errors="replace")


def setup_stdout(level: str = "INFO", **context: object) -> BoundedOutput:
    """Write events at or above `level` to standard output, without blocking.

    `context` is added to every line, as in `setup`. Return the output, for its count
    of dropped lines and a last flush.
    """
    output = BoundedOutput(sys.stdout.fileno())
    logger.remove()
    _add(output.write, level, context)
    return output


def switch_level_on_signal(level: str, **context: object) -> None:
    """Toggle between `level` and DEBUG on SIGUSR1, for events on standard error.

    `context` is added to every line, as in `setup`.
    """
    state = {"debug": False}

    def toggle(_signum: int, _frame: object) -> None:
        state["debug"] = not state["debug"]
        setup("DEBUG" if state["debug"] else level, **context)

    signal.signal(signal.SIGUSR1, toggle)


def event(name: str, level: str = "INFO", /, **pairs: object) -> None:
    """Write one event.

    Parameters
    ----------
    name : str
        Stable event name, listed in ``docs/operators/logs.md``.
    level : str, default="INFO"
        Level of the line.
    **pairs : object
        Key-value pairs that describe the event.
    """
    parts = [f"event={name}"]
    parts.extend(f"{key}={_format_value(val)}" for key, val in pairs.items())
    logger.opt(raw=False).log(level, "{}", " ".join(parts))


def place_of(exc: BaseException) -> str:
    """Return where an exception was raised, as ``module:line``."""
    frames = traceback.extract_tb(exc.__traceback__)
    if not frames:
        return "unknown"
    return f"{Path(frames[-1].filename).stem}:{frames[-1].lineno}"
