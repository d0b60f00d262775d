"""Client accounts of the soak, and checks of the guarantees that concern them."""

from bisect import bisect_left
from collections.abc import Iterator
from typing import TYPE_CHECKING

from lacewingcross.core.quota import Quota, QuotaBound

from .findings import Broken

if TYPE_CHECKING:
    from .ledger import Ledger

# An account without a limit, an account that sends far more than its quota, and an
# account whose key only every second configuration version contains.
USUAL = "usual"
FLOODED = "flooded"
PASSING = "passing"
KEYS = {USUAL: "usual-key", FLOODED: "flooded-key", PASSING: "passing-key"}
QUOTA = Quota(10.0, 10.0)
BOUND = QuotaBound()


def holds(account: str, version: int) -> bool:
    """Return whether a configuration version contains the account's key."""
    return account != PASSING or version % 2 == 1


def stored_accounts(version: int) -> dict:
    """Return the accounts of a configuration version in the format of the store."""
    found = {
        name: {"api_keys": [key] if holds(name, version) else [], "home_regions": []}
        for name, key in KEYS.items()
    }
    found[FLOODED].update(rate_per_s=QUOTA.rate, burst=QUOTA.burst)
    return found


def broken_accounts(ledger: "Ledger") -> Iterator[Broken]:
    """Yield requests that ran for another account, or that carried the account's key."""
    for runs in ledger.runs.values():
        for run in runs:
            sent = ledger.sent.get(run.request_id)
            if sent is None or not sent.account:
                continue
            if run.account != sent.account or run.keyed:
                key = " with its key" if run.keyed else ""
                text = f"{run.request_id} of {sent.account} ran as {run.account}{key}"
                yield Broken("ACCOUNT", run.at, text)


def broken_keys(ledger: "Ledger") -> Iterator[Broken]:
    """Yield keys that were accepted too long after removal, or refused while valid."""
    for reply in ledger.replies:
        sent = ledger.sent[reply.request_id]
        if not sent.account or reply.status not in (200, 401):
            continue
        allowed = reply.status == 200
        if any(holds(sent.account, v) == allowed for v in ledger.versions_at(sent)):
            continue
        text = f"host {sent.host}: {reply.status} for {sent.account}"
        yield Broken("KEYS", reply.at, text)


def broken_quota(ledger: "Ledger") -> Iterator[Broken]:
    """Yield the first window in which an account ran more than all hosts may."""
    times = sorted(
        (runs[0].at, sent.at)
        for runs in ledger.runs.values()
        if (sent := ledger.sent.get(runs[0].request_id)) and sent.account == FLOODED
    )
    for end, _ in times:
        first = bisect_left(times, (end - BOUND.window_s, 0.0))
        inside = [
            at
            for at, sent_at in times[first:]
            if at <= end and sent_at >= end - BOUND.window_s
        ]
        if len(inside) > BOUND.max_per_window(QUOTA):
            text = f"{len(inside)} requests of {FLOODED} within a window"
            yield Broken("QUOTA", end, text)
            return
