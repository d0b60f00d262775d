"""Command line of the soak: python -m bench.soak --seed 7, or --minutes 5."""

import json
import secrets
import signal
import sys
import time
from pathlib import Path

import defopt

from .plot import draw_series
from .run import DEFAULT_SIZE, Result, Size, run_in_directory

SEED_RANGE = 1_000_000
RANDOM_SEED = -1


def soak(
    *,
    seed: int = RANDOM_SEED,
    seeds: int = 1,
    minutes: float = 0.0,
    hosts: int = DEFAULT_SIZE.hosts,
    servers: int = DEFAULT_SIZE.servers,
    callers: int = DEFAULT_SIZE.callers,
    to: str = "soak-results",
) -> None:
    """Perform seeded runs with faults and report which guarantees were violated.

    The exit status is 1 when one was violated; the hosts' logs of that run are kept.

    Parameters
    ----------
    seed : int
        First seed; each further run takes the next number. -1 draws random seeds.
    seeds : int
        Number of runs.
    minutes : float
        Start further runs until this time has passed, even beyond `seeds`.
    hosts, servers, callers : int
        Number of hosts, servers and callers in each run.
    to : str
        Directory for results, plots and logs.
    """
    # Guards against hosts that keep running after SIGTERM has stopped the soak. Their
    # calls would reach the servers of the next run, which would report them as requests
    # that no caller sent.
    signal.signal(signal.SIGTERM, _interrupt)
    size = Size(hosts, servers, callers)
    ends_at = time.monotonic() + 60.0 * minutes
    runs = 0
    failed_runs = 0
    while runs < seeds or time.monotonic() < ends_at:
        draws_seed = seed == RANDOM_SEED
        run_seed = secrets.randbelow(SEED_RANGE) if draws_seed else seed + runs
        result = run_in_directory(run_seed, size, Path(to) / f"seed-{run_seed}")
        print(result.describe(), flush=True)
        _save(result, Path(to) / f"seed-{run_seed}")
        runs += 1
        failed_runs += bool(result.violations)
    print(f"{runs} runs, {failed_runs} with a broken promise")
    sys.exit(1 if failed_runs else 0)


def _interrupt(_signum: int, _frame: object) -> None:
    raise KeyboardInterrupt


def _save(result: Result, directory: Path) -> None:
    """Write result and plot; delete the hosts' logs if no guarantee was violated."""
    text = json.dumps(result.as_data(), indent=1)
    (directory / "result.json").write_text(text)
    draw_series(result, directory / "series.png")
    if not result.violations:
        for path in directory.glob("*.log"):
            path.unlink()


if __name__ == "__main__":
    defopt.run(soak)
