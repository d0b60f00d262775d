"""Retry budgets of a fleet without a network: requests fail and hosts restart."""

import random
from dataclasses import dataclass, field

from bench.soak.retries import (
    RETRY_EXTRA,
    RETRY_RATIO,
    RETRY_WINDOW_S,
    windows,
    worst_window,
)
from lacewingcross.core.retry_budgets import RetryAllowance, RetryBudgets

ALLOWANCE = RetryAllowance(RETRY_RATIO, RETRY_EXTRA, RETRY_WINDOW_S)
SERVICE = "calendar"
TICK_S = 0.1
# How many more attempts a failed request may make.
MAX_RETRIES = 2


@dataclass
class RetryFleet:
    """Hosts whose requests all fail; `requests` and `repeats` hold times in seconds."""

    hosts: int
    rng: random.Random
    requests: list = field(default_factory=list)
    repeats: list = field(default_factory=list)
    now: float = 0.0
    _budgets: list = field(default_factory=list)

    def __post_init__(self):
        self._budgets = [self._start() for _ in range(self.hosts)]

    def _start(self):
        budgets = RetryBudgets(ALLOWANCE, self.rng)
        budgets.set_host_share(1.0 / self.hosts, self.hosts, self.now)
        return budgets

    def restart(self, share):
        """Replace the processes of this share of the hosts, at least of one host."""
        count = max(1, round(share * self.hosts))
        for index in self.rng.sample(range(self.hosts), count):
            self._budgets[index] = self._start()

    def serve(self, rate, seconds, *, failing, reached=1.0):
        """Send `rate` requests a second to random hosts of a share of the fleet."""
        first_host_beyond = max(1, round(reached * self.hosts))
        end = self.now + seconds
        while self.now < end:
            for _ in range(self._drawn_count(rate * TICK_S)):
                self._send(self.rng.randrange(first_host_beyond), failing)
            self.now += TICK_S

    def _drawn_count(self, mean):
        return int(mean) + (self.rng.random() < mean % 1)

    def _send(self, index, failing):
        budgets = self._budgets[index]
        self.requests.append(self.now)
        budgets.of(SERVICE, self.now).earn()
        for _ in range(MAX_RETRIES if failing else 0):
            budget = budgets.of(SERVICE, self.now)
            if not budget.available():
                budget.refuse()
                return
            budget.spend()
            self.repeats.append(self.now)

    def windows(self):
        return windows(self.requests, self.repeats)

    def worst_window(self):
        return worst_window(self.requests, self.repeats)
