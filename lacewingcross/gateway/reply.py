"""Answers one caller's request with a server's response or an answer of this host."""

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

# A 401 must name the kind of credentials that is expected (RFC 9110).
BEARER_CHALLENGE = (b"www-authenticate", b"Bearer")


# Code of a refusal since this host ends before the request could.
HOST_LEAVING = "host-leaving"
# Retry-After of a host that shuts down, in seconds; other hosts serve at once.
LEAVING_RETRY_S = 0.05


@dataclass(slots=True, frozen=True)
class HostAnswer:
    """An answer that this host makes itself.

    `reason` is a stable code for the caller, the log and the metrics. `retry_after_s`
    is sent as Retry-After, in seconds, unless it is 0. `detail` is a text for the
    caller and the log that explains the reason.
    """

    status: int
    reason: str
    retry_after_s: float = 0.0
    detail: str = ""


class Reply:
    """Sends the only answer to a request and logs how the request ended.

    Parameters
    ----------
    gateway : Gateway
        State and services that the parts of this host share.
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
        """Send the server's response to the caller, with unchanged status and body.

        Headers that concern only the connection to the server are left out. A host that
        is leaving adds headers that make the caller use another host. The body of a
        large response is forwarded as it arrives.
        """
        head = answer.head
        fields = answer_for_caller(head) + self._gateway.closing_headers()
        if answer.complete:
            await self._exchange.respond(head.status, fields, answer.body)
            self.log_end("answered", head.status)
            return
        try:
            await self._stream(run, answer, fields)
        except BaseException:
            # The caller may have part of the response already. Only an aborted
            # connection shows it that the rest will not come.
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
        """Send an answer of this host's own.

        If a response was already begun, the caller's connection is aborted instead, and
        nothing is logged here.
        """
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
        """Log and count the end of the request.

        Parameters
        ----------
        outcome : str
            Stable code of how the request ended.
        status : int, default=0
            Status that the caller got; 0 when it got none.
        retry_after_s : float, default=0.0
            The Retry-After that was sent, in seconds; 0 when none was sent.
        detail : str, default=""
            Text for the log that explains the outcome.
        """
        now = self._gateway.now()
        duration_s = now - self._started_at
        metrics = self._gateway.metrics
        metrics.count(f"requests.{status}.{outcome}")
        metrics.observe("request", duration_s)
        if 200 <= status < 300:
            self._gateway.start_report.note_success(now)
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
