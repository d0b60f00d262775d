"""Applies and logs what is found of silent backend servers."""

from collections.abc import Iterable
from math import isfinite

from .. import logs
from ..core import messages as msg
from ..core.backend_state import Server
from ..core.peer_selection import counts_interval_s
from ..core.silence.watch import FOUND, HEARD, REFUTED, TOLD, SilenceEvent
from ..http1_client import ResponseHead
from .attempt import MISDIRECTED
from .context import Gateway

# Name in logs of this host as the source of a finding.
OWN = "own"
# Largest age in log lines, in milliseconds, for a server that was never heard.
MAX_AGE_MS = 9999


def note_head(gateway: Gateway, server: Server, head: ResponseHead) -> None:
    """Record that a server has answered.

    A misdirected request was answered by another process that has the server's address.
    """
    if head.status == MISDIRECTED:
        return
    now = gateway.now()
    event = gateway.steering.placement.silence.heard(server, now)
    if event is not None:
        _record(gateway, [event], now)


def note_peer_pace(
    gateway: Gateway, server: Server, source: str, reported_at: float
) -> None:
    """Record that a server has reported its pace to another host.

    `reported_at` is a monotonic time in seconds.
    """
    now = gateway.now()
    silence = gateway.steering.placement.silence
    event = silence.reported_pace(server, source, min(reported_at, now), now)
    if event is not None:
        _record(gateway, [event], now)


def review_silence(gateway: Gateway) -> None:
    """Find servers that have become silent."""
    now = gateway.now()
    interval_s = counts_interval_s(gateway.roster)
    silence = gateway.steering.placement.silence
    _record(gateway, silence.review(now, interval_s), now)


def receive_silence(gateway: Gateway, source: str, message: msg.SilentServers) -> None:
    """Take what another host has found."""
    now = gateway.now()
    silence = gateway.steering.placement.silence
    _record(gateway, silence.receive(source, message.items, now), now)


def _record(gateway: Gateway, events: Iterable[SilenceEvent], now: float) -> None:
    for event in events:
        if event.what in (FOUND, TOLD, REFUTED):
            gateway.metrics.count(f"servers.silent.{event.what}")
        _log(event, now)


def _log(event: SilenceEvent, now: float) -> None:
    """Log an event with its inputs; `what` is `refuted` for a report not believed."""
    entry = event.server.entry
    timeout_s = event.timeout_s
    logs.event(
        "server-heard-again" if event.what == HEARD else "server-silent",
        server=entry.server_id,
        born_ms=entry.born_ms,
        service=entry.service,
        what=event.what,
        source=event.source or OWN,
        unanswered_ms=int(1000 * event.unanswered_s),
        timeout_ms=int(1000 * timeout_s) if isfinite(timeout_s) else "unknown",
        own=event.own,
        others=event.others,
        heard_ms=_age_ms(event.server.evidence.own_at, now),
        heard_by_any_ms=_age_ms(event.server.evidence.heard_at, now),
    )


def _age_ms(at: float, now: float) -> int:
    return int(min(MAX_AGE_MS, 1000 * (now - at)))
