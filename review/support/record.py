"""The record of a run: lines with the time since its start."""

import time
from pathlib import Path


class Record:
    """Writes what was sent, answered and run, one line an event.

    Parameters
    ----------
    path : Path
        The file; it is replaced.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._started_at

    def note(self, text: str, *, show: bool = False) -> None:
        """Write a line; `show` prints it as well."""
        line = f"{self.now():8.3f} {text}"
        self._file.write(line + "\n")
        if show:
            print(line, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()
