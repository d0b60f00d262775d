"""Command of the soak: python -m bench.soak --seed 7, or --minutes 5."""

import json
import secrets
import signal
import sys
import time
from pathlib import Path

import defopt

from .plot import draw_series
from .run import USUAL, Result, Size, play_in

SEED_RANGE = 1_000_000
FRESH = -1


def soak(
    *,
    seed: int = FRESH,
    seeds: int = 1,
    minutes: float = 0.0,
    hosts: int = USUAL.hosts,
    servers: int = USUAL.servers,
    callers: int = USUAL.callers,
    to: str = "soak-results",
) -> None:
    """Play seeded runs with faults and report which promises broke.

    Exit status 1 when one did. The logs of its hosts are kept then.

    Parameters
    ----------
    seed : int
        First seed; the next runs count up from it. -1 draws fresh ones.
    seeds : int
        How many runs.
    minutes : float
        Play on for so long, whatever `seeds` says.
    hosts, servers, callers : int
        Size of each run.
    to : str
        Directory for results, plots and logs.
    """
    # Failure: the soak is stopped and its hosts live on; their calls then reach the
    # servers of the next run, which takes them for requests that nobody sent.
    signal.signal(signal.SIGTERM, _interrupt)
    size = Size(hosts, servers, callers)
    ends = time.monotonic() + 60.0 * minutes
    played = 0
    bad = 0
    while played < seeds or time.monotonic() < ends:
        fresh = seed == FRESH
        number = secrets.randbelow(SEED_RANGE) if fresh else seed + played
        result = play_in(number, size, Path(to) / f"seed-{number}")
        print(result.describe(), flush=True)
        _save(result, Path(to) / f"seed-{number}")
        played += 1
        bad += bool(result.broken)
    print(f"{played} runs, {bad} with a broken promise")
    sys.exit(1 if bad else 0)


def _interrupt(_signum: int, _frame: object) -> None:
    raise KeyboardInterrupt


def _save(result: Result, directory: Path) -> None:
    """Write result and plot; the hosts' logs stay only where something broke."""
    text = json.dumps(result.as_data(), indent=1)
    (directory / "result.json").write_text(text)
    draw_series(result, directory / "series.png")
    if not result.broken:
        for path in directory.glob("*.log"):
            path.unlink()


if __name__ == "__main__":
    defopt.run(soak)
