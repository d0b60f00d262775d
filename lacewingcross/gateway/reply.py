"""Answers to one caller's request, the server's or this host's own."""

import json
from dataclasses import dataclass

from .. import headers as hd
from .. import logs
from ..http1_exchange import Exchange
from ..http1_json import JSON_TYPE
from ..platform import headers as ph
from .attempt import Answer, AttemptRun
from .context import Gateway
from .forwarding import answer_for_caller

# What a 401 must say (RFC 9110): the kind of credentials that is expected.
BEARER_CHALLENGE = (b"www-authenticate", b"Bearer")


@dataclass(slots=True, frozen=True)
class HostAnswer:
    """A final answer of this host's own."""

    status: int
    reason: str
    retry_after_s: float = 0.0
    detail: str = ""


class Reply:
    """Sends the one answer of a request and writes the line that ends it.

    Parameters
    ----------
    gateway : Gateway
        What the parts of this host share.
    exchange : Exchange
        The caller's exchange.
    """

    __slots__ = (
        "_exchange",
        "_gateway",
        "_started_at",
        "account",
        "attempts",
        "request_id",
        "route",
        "service",
    )

    def __init__(self, gateway: Gateway, exchange: Exchange) -> None:
        self._gateway = gateway
        self._exchange = exchange
        self._started_at = gateway.now()
        self.attempts = 0
        self.request_id = ""
        self.account = ""
        self.route = ""
        self.service = ""

    async def deliver(self, run: AttemptRun, answer: Answer) -> None:
        """Send the server's answer to the caller as it is."""
        head = answer.head
        fields = answer_for_caller(head) + self._gateway.closing_headers()
        if answer.complete:
            await self._exchange.respond(head.status, fields, answer.body)
            self.log_end("answered", head.status)
            return
        try:
            await self._stream(run, answer, fields)
        except BaseException:
            # Part of the answer is with the caller; only a broken connection tells it
            # that the rest will not come.
            self._exchange.abort()
            run.release_connection(complete=False)
            self.log_end("broken-off", head.status)
            raise

    async def _stream(
        self, run: AttemptRun, answer: Answer, fields: hd.HeaderList
    ) -> None:
        length = hd.find(answer.head.headers, hd.CONTENT_LENGTH).encode()
        if length:
            fields = [*fields, (hd.CONTENT_LENGTH, length)]
        await self._exchange.send_head(answer.head.status, fields)
        await self._exchange.send_body(answer.body)
        while part := await run.read_more():
            await self._exchange.send_body(part)
        self._exchange.finish()
        run.release_connection(complete=True)
        self.log_end("answered", answer.head.status)

    async def finish(self, host_answer: HostAnswer) -> None:
        """Send a final answer of our own."""
        if self._exchange.started:
            self._exchange.abort()
            return
        fields = [*JSON_TYPE]
        if self.request_id:
            fields.append((ph.REQUEST_ID, self.request_id.encode("latin-1")))
        if host_answer.retry_after_s:
            retry_after = f"{host_answer.retry_after_s:.3f}".encode()
            fields.append((hd.RETRY_AFTER, retry_after))
        if host_answer.status == 401:
            fields.append(BEARER_CHALLENGE)
        fields += self._gateway.closing_headers()
        self.log_end(
            host_answer.reason,
            host_answer.status,
            host_answer.retry_after_s,
            host_answer.detail,
        )
        body = (
            json.dumps(
                {"error": host_answer.reason, "detail": host_answer.detail}
            ).encode()
            + b"\n"
        )
        await self._exchange.respond(host_answer.status, fields, body)

    def log_end(
        self,
        outcome: str,
        status: int = 0,
        retry_after_s: float = 0.0,
        detail: str = "",
    ) -> None:
        """Write the line that ends the request, and count it."""
        duration_s = self._gateway.now() - self._started_at
        metrics = self._gateway.metrics
        metrics.count(f"requests.{status}.{outcome}")
        metrics.observe("request", duration_s)
        logs.event(
            "request-ended",
            id=self.request_id,
            route=self.route,
            service=self.service,
            account=self.account,
            outcome=outcome,
            status=status,
            attempts=self.attempts,
            took_ms=int(duration_s * 1000),
            retry_after_ms=int(retry_after_s * 1000),
            detail=detail,
        )
