"""Checks of the soak: configuration versions come into force, and stay."""

from typing import TYPE_CHECKING

from .findings import Violation

if TYPE_CHECKING:
    from .ledger import Ledger, Reply, Sent

# Time within which a version has to be in force, in seconds.
CONFIG_APPLY_S = 2.5
# Seconds for which a route of an older version may still be served after a newer one
# was: two concurrent requests may overtake each other.
REVERT_SLACK_S = 0.25


def configuration_violations(ledger: "Ledger") -> list[Violation]:
    """Return versions that came into force too late, or again after a newer one."""
    found = []
    newest: dict[tuple[int, int], tuple[int, float]] = {}
    for reply in ledger.replies:
        sent = ledger.sent[reply.request_id]
        if not sent.version:
            continue
        found += _config_apply_violations(ledger, sent, reply)
        key = (sent.host, sent.incarnation)
        version, seen_at = newest.get(key, (0, 0.0))
        disturbed = ledger.host_disturbances[sent.host].causes_near(seen_at, reply.at)
        slack = REVERT_SLACK_S * (8 if disturbed else 1)
        if reply.status != 200:
            continue
        if sent.version < version and sent.at > seen_at + slack:
            text = f"host {sent.host}: version {sent.version} after {version}"
            found.append(Violation("REVERT", reply.at, text))
        elif sent.version > version:
            newest[key] = (sent.version, reply.at)
    return found


def _config_apply_violations(
    ledger: "Ledger", sent: "Sent", reply: "Reply"
) -> list[Violation]:
    """Return a violation if a version came into force, or went out, too late."""
    text = f"host {sent.host}, version {sent.version}: {reply.status}"
    since = ledger.accepted.get(sent.version)
    after = ledger.accepted.get(sent.version + 1)
    newest = after is None or sent.at < after
    missing = reply.status == 404 and newest and since is not None
    if missing and ledger.exceeds_bound(sent, since, CONFIG_APPLY_S, sent.at):
        return [Violation("CONFIG", reply.at, f"{text}, accepted at {since:.2f}")]
    still_served = reply.status == 200 and after is not None
    if still_served and ledger.exceeds_bound(sent, after, CONFIG_APPLY_S, sent.at):
        return [Violation("CONFIG", reply.at, f"{text}, dropped at {after:.2f}")]
    return []
