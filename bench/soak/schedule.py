"""Draws the faults of a run from a seed: their kinds, targets and times.

Several faults of one kind can follow each other in a series.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass

# Seconds at the start of a run without faults, so that traffic already exercises all
# guarantees when the first fault begins.
UNDISTURBED_START_S = 3.0
# Longest duration of one fault, in seconds. It is longer than the store keeps the entry
# of a silent server (4.5 s) and longer than every silence timeout of the hosts.
MAX_FAULT_S = 6.0

HOST_KINDS = (
    "host-kill",
    "host-power",
    "host-term",
    "host-pause",
    "host-hup",
    "store-path-cut",
    "store-path-one-way",
    "store-path-delay",
    "peer-path-cut",
    "peer-path-one-way",
    "peer-path-reset",
    "caller-path-delay",
    "caller-path-reset",
)
SERVER_KINDS = (
    "server-crash",
    "server-dark",
    "server-drain",
    "server-reuse",
    "server-lost-answers",
    "server-garble",
    "server-slow",
    "server-shed",
)
# Requests of the servers to the hosts, sent in responses: a rate limit, an announcement
# that the server is draining, a back-off. They are drawn separately from the faults.
SIGNAL_KINDS = ("server-limit", "server-leaving-word", "server-rest")
SIGNALS_PER_FAULT = 0.25
# The store comes back from a copy that is as old as the fault's duration. These faults
# are drawn separately too; some of them follow each other closely.
RESTORE_KIND = "store-restore"
RESTORES_PER_FAULT = 0.1
# One host loses its links to all servers. These faults are drawn separately too; they
# follow each other at different hosts and overlap.
CUT_KINDS = ("server-path-hang", "server-path-refuse", "server-path-refuse-new")
CUTS_PER_FAULT = 0.25
# Objects of another writer, and servers that send bytes without end. These faults are
# drawn separately too.
FOREIGN_KINDS = (
    "foreign-objects",
    "server-endless-interim",
    "server-endless-surplus",
    "server-endless-stray",
)
FOREIGN_PER_FAULT = 0.25
FLEET_KINDS = (
    "store-busy",
    "store-many",
    "store-reset",
    "store-silent",
    "store-slow",
    "store-lost-writes",
    "store-compact",
    "evacuate",
    "change",
    "change",
    "change",
    "kill-all",
)


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault.

    Attributes
    ----------
    at : float
        When the fault begins, in seconds from the start of the run.
    kind : str
        The kind of fault.
    target : int
        Selects the host or server that it affects: the index is `target` modulo the
        number of hosts or servers.
    for_s : float
        How long the fault lasts, in seconds.
    """

    at: float
    kind: str
    target: int
    for_s: float

    def describe(self) -> str:
        """Return a readable line about the fault."""
        return f"{self.at:6.2f} s {self.kind} #{self.target} for {self.for_s:.1f} s"


def draw_faults(seed: int, length_s: float, per_s: float) -> list[Fault]:
    """Return the faults of one run, in order of time.

    Parameters
    ----------
    seed : int
        The same seed gives the same faults.
    length_s : float
        Seconds in which faults may begin.
    per_s : float
        Faults per second, on average.
    """
    faults = [*_draw_series(random.Random(seed), length_s, per_s)]
    rng = random.Random(f"signals-{seed}")
    faults += _draw_signals(rng, length_s, per_s * SIGNALS_PER_FAULT)
    rng = random.Random(f"restores-{seed}")
    faults += _draw_restores(rng, length_s, per_s * RESTORES_PER_FAULT)
    rng = random.Random(f"cuts-{seed}")
    faults += _draw_each(rng, CUT_KINDS, length_s, per_s * CUTS_PER_FAULT)
    rng = random.Random(f"foreign-{seed}")
    faults += _draw_each(rng, FOREIGN_KINDS, length_s, per_s * FOREIGN_PER_FAULT)
    return sorted(faults, key=lambda fault: fault.at)


def _draw_signals(rng: random.Random, length_s: float, per_s: float) -> Iterator[Fault]:
    """Yield at least one signal of each kind."""
    for index in range(max(len(SIGNAL_KINDS), round(length_s * per_s))):
        kind = SIGNAL_KINDS[index % len(SIGNAL_KINDS)]
        at = UNDISTURBED_START_S + rng.uniform(0.0, length_s / 2)
        for_s = rng.uniform(MAX_FAULT_S, 2 * MAX_FAULT_S)
        yield Fault(at, kind, rng.randrange(1 << 16), for_s)


def _draw_each(
    rng: random.Random, kinds: tuple[str, ...], length_s: float, per_s: float
) -> Iterator[Fault]:
    """Yield at least one fault of each kind."""
    for index in range(max(len(kinds), round(length_s * per_s))):
        kind = kinds[index % len(kinds)]
        at = UNDISTURBED_START_S + rng.uniform(0.0, length_s)
        yield Fault(at, kind, rng.randrange(1 << 16), rng.uniform(1.0, MAX_FAULT_S))


def _draw_restores(
    rng: random.Random, length_s: float, per_s: float
) -> Iterator[Fault]:
    """Yield at least one restore; half of them are followed by a second one."""
    for _ in range(max(1, round(length_s * per_s))):
        at = UNDISTURBED_START_S + rng.uniform(0.0, length_s)
        yield Fault(at, RESTORE_KIND, 0, rng.uniform(0.3, MAX_FAULT_S))
        if rng.random() < 0.5:
            at += rng.uniform(0.0, MAX_FAULT_S)
            yield Fault(at, RESTORE_KIND, 0, rng.uniform(0.3, MAX_FAULT_S))


def _draw_series(rng: random.Random, length_s: float, per_s: float) -> Iterator[Fault]:
    """Yield single faults, and overlapping series of faults of one kind."""
    max_faults = max(1, round(length_s * per_s))
    fault_count = 0
    while fault_count < max_faults:
        kind = rng.choice(rng.choice((HOST_KINDS, SERVER_KINDS, FLEET_KINDS)))
        at = UNDISTURBED_START_S + rng.uniform(0.0, length_s)
        gap_s = rng.choice((0.0, 0.05, 0.4, 1.5))
        for step in range(rng.choice((1, 1, 1, 2, 3))):
            target = rng.randrange(1 << 16)
            for_s = rng.uniform(0.3, MAX_FAULT_S)
            yield Fault(at + step * gap_s, kind, target, for_s)
            fault_count += 1
