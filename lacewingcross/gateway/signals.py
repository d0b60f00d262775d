"""Takes what backend servers say of themselves into what this host believes."""

from .. import logs
from ..core.backend_state import Server
from ..http1_client import ResponseHead
from ..platform.answer_signals import read_signals
from .attempt import MISDIRECTED
from .context import Gateway


def learn_signals(gateway: Gateway, server: Server, head: ResponseHead) -> None:
    """Take in the head of an answer from a run of a server.

    A misdirected request was answered by whoever has the server's address now: that
    says nothing of this one.
    """
    if head.status == MISDIRECTED:
        return
    said = read_signals(head.headers)
    for name in said.unreadable:
        gateway.metrics.count(f"signals.unreadable.{name}")
    if said == server.said:
        return
    logs.event(
        "server-signals",
        server=server.entry.server_id,
        born_ms=server.entry.born_ms,
        service=server.entry.service,
        limit_per_s="none" if said.rate is None else said.rate,
        unreadable=",".join(said.unreadable),
    )
    server.said = said
