"""Performs one seeded run of the soak and reports its result."""

import asyncio
import random
import tempfile
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path

from .callers import Callers
from .faults import inject_faults
from .ledger import Ledger, Violation
from .long_work import GRACE_S, draw_stops, has_long_work, send_long_work
from .paces import change_paces, has_uneven_pace
from .schedule import Fault, draw_faults
from .surge import RETURN_S, has_surges, repeat_surges
from .world import World

# Seconds without faults after the last one. Store entries that expired are back within
# two seconds, and a host that starts is ready within one second.
SETTLE_S = 4.0
CALM_END_S = 3.0
# Seconds before the first request, in which the hosts read the store and discover each
# other.
START_UP_S = 2.5


@dataclass(slots=True, frozen=True)
class Size:
    """The size of a run.

    Attributes
    ----------
    hosts, servers, callers : int
        How many of each the run has.
    length_s : float
        Seconds in which faults may begin.
    faults_per_s : float
        Average number of faults per second.
    """

    hosts: int = 5
    servers: int = 12
    callers: int = 24
    length_s: float = 15.0
    faults_per_s: float = 1.2


DEFAULT_SIZE = Size()


@dataclass(slots=True)
class Result:
    """The result of one run.

    Attributes
    ----------
    unjudged : int
        Time bounds that were not checked because the soak's own event loop was late.
    series : list of tuple of int
        For each second: the second, and the requests served, refused and failed.
    """

    seed: int
    size: Size
    faults: list[Fault]
    violations: list[Violation]
    outcomes: dict[str, int]
    unjudged: int
    series: list[tuple[int, int, int, int]]

    def as_data(self) -> dict:
        """Return the result for a JSON file."""
        return {
            "seed": self.seed,
            "size": asdict(self.size),
            "faults": [asdict(fault) for fault in self.faults],
            "broken": [asdict(item) for item in self.violations],
            "outcomes": self.outcomes,
            "unjudged": self.unjudged,
            "series": self.series,
        }

    def describe(self) -> str:
        """Return a readable report of the run."""
        verdict = f"{len(self.violations)} BROKEN" if self.violations else "kept"
        outcomes = ", ".join(f"{name} {n}" for name, n in sorted(self.outcomes.items()))
        lines = [
            f"seed {self.seed}: {verdict}; {len(self.faults)} faults; {outcomes}; "
            f"{self.unjudged} time bounds not judged"
        ]
        for item in self.violations[:20]:
            lines.append(f"  {item.rule} at {item.at:.2f} s: {item.what}")
        if self.violations:
            lines += ["  faults:", *(f"  {fault.describe()}" for fault in self.faults)]
        return "\n".join(lines)


async def run_soak(seed: int, size: Size, directory: Path) -> Result:
    """Perform one run; logs and settings of the hosts are written to `directory`."""
    rng = random.Random(seed)
    faults = draw_faults(seed, size.length_s, size.faults_per_s)
    world = World(directory, rng)
    if has_long_work(seed):
        faults = sorted([*faults, *draw_stops(seed)], key=lambda fault: fault.at)
        world.ledger.grace_s = GRACE_S
    await world.start(size.hosts, size.servers)
    callers = []
    try:
        await asyncio.sleep(START_UP_S)
        sender = Callers(world, rng)
        callers = sender.tasks(size.callers)
        if has_uneven_pace(seed):
            callers.append(asyncio.ensure_future(change_paces(world, seed)))
        if has_long_work(seed):
            sending = send_long_work(sender, world, seed)
            callers.append(asyncio.ensure_future(sending))
        if has_surges(seed):
            surges = asyncio.ensure_future(repeat_surges(sender, world, seed))
            callers.append(surges)
        await inject_faults(world, faults)
        await asyncio.sleep(SETTLE_S - RETURN_S)
        if has_surges(seed):
            surges.cancel()
        await asyncio.sleep(RETURN_S)
        world.ledger.calm_from = world.now()
        await asyncio.sleep(CALM_END_S)
        world.ledger.calm_to = world.now() - 1.0
    finally:
        for task in callers:
            task.cancel()
        results = await asyncio.gather(*callers, return_exceptions=True)
        await world.stop()
    for result in results:
        if not isinstance(result, asyncio.CancelledError):
            raise result
    return _result(seed, size, faults, world.ledger)


def _result(seed: int, size: Size, faults: list[Fault], ledger: Ledger) -> Result:
    outcomes = Counter(reply.failure or str(reply.status) for reply in ledger.replies)
    return Result(
        seed,
        size,
        faults,
        ledger.violations(),
        dict(outcomes),
        ledger.unjudged,
        _series(ledger),
    )


def _series(ledger: Ledger) -> list[tuple[int, int, int, int]]:
    """Return for each second: the second, and the requests served, refused, failed."""
    seconds: dict[int, list[int]] = {}
    for reply in ledger.replies:
        row = seconds.setdefault(int(reply.at), [0, 0, 0])
        refused = reply.status in (429, 503)
        served = 200 <= reply.status < 300
        row[0 if served else 1 if refused else 2] += 1
    return [(second, *row) for second, row in sorted(seconds.items())]


def run_in_directory(
    seed: int, size: Size, kept_directory: Path | None = None
) -> Result:
    """Perform one run in `kept_directory`, or in a temporary directory."""
    if kept_directory is not None:
        kept_directory.mkdir(parents=True, exist_ok=True)
        return asyncio.run(run_soak(seed, size, kept_directory))
    with tempfile.TemporaryDirectory() as path:
        return asyncio.run(run_soak(seed, size, Path(path)))
