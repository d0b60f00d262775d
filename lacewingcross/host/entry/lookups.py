"""Look-ups over HTTP, with prepared answers and a cache of parsed requests."""

import json
from dataclasses import replace
from urllib.parse import parse_qs

import h11

from ... import headers as hd
from ...core.blocks import parse_address
from ...core.lookup import LookupAnswer, LookupRefusal, lifetime
from ...core.plan import bucket_of
from ..runtime import Runtime

LOOKUP_PATH = "/v1/lookup"
# Number of prepared responses to one look-up, which differ in their lifetime and are
# sent in rotation.
TTL_VARIANTS = 8
# Limits on the cached queries, of which the oldest is dropped, and on the prepared
# responses, to which no more are added.
MAX_QUERIES_KEPT = 50_000
MAX_PREPARED_KEPT = 100_000


class LookupQuery:
    """What a look-up asks for: service, client address, caller and its bucket."""

    __slots__ = ("address", "bucket", "caller", "service")

    def __init__(self, service: str, address: int | None, caller: str) -> None:
        self.service = service
        self.address = address
        self.caller = caller
        self.bucket = bucket_of(service, caller)


class Lookups:
    """Answers look-ups from prepared bytes.

    Parsing a request with h11 costs far more than deciding on it. A caller repeats
    the same look-up with the same bytes, and h11 gives the same result for the same
    bytes on an idle connection. The query of each parsed request is therefore cached by
    the bytes of the request. The responses are prepared for each service, client group
    and bucket, and dropped when the core's epoch changes.

    Parameters
    ----------
    runtime : Runtime
        Holds the core that decides.
    """

    __slots__ = (
        "_epoch",
        "_prepared",
        "_queries_by_bytes",
        "_runtime",
        "_variant_index",
    )

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._queries_by_bytes: dict[bytes, LookupQuery] = {}
        self._prepared: dict[tuple[str, str, int], list[bytes]] = {}
        self._epoch = -1
        self._variant_index = 0

    def reply(self, data: bytes) -> bytes | None:
        """Return the response to a whole look-up request.

        None means that these bytes have to be handled as an ordinary request: they are
        not one complete, plain look-up, or the core refuses the look-up.
        """
        query = self._queries_by_bytes.get(data)
        if query is None:
            if data.startswith(b"GET /v1/lookup?"):
                query = self._parse(data)
            if query is None:
                return None
        return self._respond(query)

    def _parse(self, data: bytes) -> LookupQuery | None:
        """Parse a whole request with h11; None when it needs ordinary handling."""
        conn = h11.Connection(h11.SERVER)
        try:
            conn.receive_data(data)
            req = conn.next_event()
            if not isinstance(req, h11.Request):
                return None
            if not isinstance(conn.next_event(), h11.EndOfMessage):
                return None
        except h11.RemoteProtocolError:
            return None
        names = {name for name, _ in req.headers}
        plain = not names & {hd.CONTENT_LENGTH, hd.TRANSFER_ENCODING, b"connection"}
        if conn.trailing_data[0] or not plain or req.http_version != b"1.1":
            return None
        query = self.parse_target(req.target.decode("ascii"))
        if isinstance(query, LookupQuery):
            if len(self._queries_by_bytes) >= MAX_QUERIES_KEPT:
                self._queries_by_bytes.pop(next(iter(self._queries_by_bytes)))
            self._queries_by_bytes[data] = query
            return query
        return None

    def parse_target(self, target: str) -> LookupQuery | str:
        """Return the query in a request target, or a text that says what is wrong."""
        params = parse_qs(target.partition("?")[2])
        service = params.get("service", [""])[0]
        if not service:
            return "expected a parameter service"
        address_text = params.get("address", [""])[0]
        address = parse_address(address_text) if address_text else None
        if address_text and address is None:
            return "address: expected an IPv4 address"
        caller = params.get("caller", [""])[0] or address_text
        if not caller:
            return "expected a parameter address or caller"
        return LookupQuery(service, address, caller)

    def _respond(self, query: LookupQuery) -> bytes | None:
        """Return the next variant of the prepared response, or None for a refusal."""
        core = self._runtime.core
        if core.epoch != self._epoch:
            self._prepared.clear()
            self._epoch = core.epoch
        group = core.view.config.group_of(query.service, query.address)
        key = (query.service, group or "", query.bucket)
        variants = self._prepared.get(key)
        if variants is None:
            variants = self._prepare(query)
            if variants is None:
                return None
            if len(self._prepared) < MAX_PREPARED_KEPT:
                self._prepared[key] = variants
        self._variant_index = (self._variant_index + 1) % TTL_VARIANTS
        self._runtime.metrics.counters["lookups.answered"] += 1
        return variants[self._variant_index]

    def _prepare(self, query: LookupQuery) -> list[bytes] | None:
        """Return the variants of the response to a query, or None for a refusal."""
        answer = self.look_up(query)
        if isinstance(answer, LookupRefusal):
            return None
        view = self._runtime.core.view
        policy = view.config.policies[query.service]
        variants = []
        for _ in range(TTL_VARIANTS):
            # The variants differ only in their lifetime, which has jitter. All variants
            # have the same hosts, since ranking the hosts is the costly part.
            answer = replace(answer, ttl_s=lifetime(policy, view.rng))
            body = json.dumps(answer_data(answer), separators=(",", ":")).encode()
            head = (
                b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
                b"content-length: %d\r\n\r\n" % len(body)
            )
            variants.append(head + body)
        return variants

    def look_up(self, query: LookupQuery) -> LookupAnswer | LookupRefusal:
        """Return the core's answer to a query."""
        core = self._runtime.core
        return core.lookup(
            query.service,
            query.address,
            query.caller,
            self._runtime.now(),
        )


def answer_data(answer: LookupAnswer) -> dict[str, object]:
    """Return a look-up's answer as JSON data."""
    return {
        "service": answer.service,
        "region": answer.region,
        "hosts": [
            {"id": info.host_id, "address": info.entry, "region": info.region}
            for info in answer.hosts
        ],
        "ttl_s": round(answer.ttl_s, 3),
        "revision": answer.revision,
    }
