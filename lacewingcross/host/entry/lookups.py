"""Look-ups over HTTP, with answers prepared and heads remembered."""

import json
from dataclasses import replace
from urllib.parse import parse_qs

import h11

from ... import headers as hd
from ...core.blocks import parse_address
from ...core.lookup import LookupAnswer, LookupRefusal, lifetime
from ...core.plan import bucket_of
from ..runtime import Runtime

PATH = "/v1/lookup"
VARIANTS = 8
MAX_HEADS = 50_000
MAX_PREPARED = 100_000


class Question:
    """Service, group and bucket that a look-up comes down to."""

    __slots__ = ("address", "bucket", "caller", "service")

    def __init__(self, service: str, address: int | None, caller: str) -> None:
        self.service = service
        self.address = address
        self.caller = caller
        self.bucket = bucket_of(service, caller)


class Lookups:
    """Answers look-ups from prepared bytes.

    Parsing a request with h11 costs far more than deciding on it. A caller asks the
    same question with the same bytes each time, and h11 gives the same result for
    the same bytes on an idle connection; so heads that were parsed once are
    remembered whole, and an answer is prepared once for each bucket.

    Parameters
    ----------
    runtime : Runtime
        Holds the core that decides.
    """

    __slots__ = ("_epoch", "_heads", "_prepared", "_runtime", "_turn")

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._heads: dict[bytes, Question] = {}
        self._prepared: dict[tuple[str, str, int], list[bytes]] = {}
        self._epoch = -1
        self._turn = 0

    def reply(self, data: bytes) -> bytes | None:
        """Return the response to bytes that were parsed before, or None."""
        question = self._heads.get(data)
        if question is None:
            if data.startswith(b"GET /v1/lookup?"):
                question = self._parse(data)
            if question is None:
                return None
        return self._respond(question)

    def _parse(self, data: bytes) -> Question | None:
        """Parse a whole request with h11; None when it needs the ordinary way."""
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
        question = self.question(req.target.decode("ascii"))
        if isinstance(question, Question):
            if len(self._heads) >= MAX_HEADS:
                self._heads.pop(next(iter(self._heads)))
            self._heads[data] = question
            return question
        return None

    def question(self, target: str) -> Question | str:
        """Return the question in a target, or what is wrong with it."""
        query = parse_qs(target.partition("?")[2])
        service = query.get("service", [""])[0]
        if not service:
            return "expected a parameter service"
        text = query.get("address", [""])[0]
        address = parse_address(text) if text else None
        if text and address is None:
            return "address: expected an IPv4 address"
        caller = query.get("caller", [""])[0] or text
        if not caller:
            return "expected a parameter address or caller"
        return Question(service, address, caller)

    def _respond(self, question: Question) -> bytes | None:
        core = self._runtime.core
        if core.epoch != self._epoch:
            self._prepared.clear()
            self._epoch = core.epoch
        group = core.view.config.group_of(question.service, question.address)
        key = (question.service, group or "", question.bucket)
        variants = self._prepared.get(key)
        if variants is None:
            variants = self._prepare(question)
            if variants is None:
                return None
            if len(self._prepared) < MAX_PREPARED:
                self._prepared[key] = variants
        self._turn = (self._turn + 1) % VARIANTS
        self._runtime.metrics.counters["lookups.answered"] += 1
        return variants[self._turn]

    def _prepare(self, question: Question) -> list[bytes] | None:
        found = self.find(question)
        if isinstance(found, LookupRefusal):
            return None
        view = self._runtime.core.view
        policy = view.config.policies[question.service]
        variants = []
        for _ in range(VARIANTS):
            # The hosts are the same in all variants; ranking them is the costly part.
            found = replace(found, ttl_s=lifetime(policy, view.rng))
            body = json.dumps(answer_data(found), separators=(",", ":")).encode()
            head = (
                b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
                b"content-length: %d\r\n\r\n" % len(body)
            )
            variants.append(head + body)
        return variants

    def find(self, question: Question) -> LookupAnswer | LookupRefusal:
        """Ask the core."""
        core = self._runtime.core
        return core.lookup(
            question.service,
            question.address,
            question.caller,
            self._runtime.now(),
        )


def answer_data(found: LookupAnswer) -> dict[str, object]:
    """Return a look-up's answer as JSON data."""
    return {
        "service": found.service,
        "region": found.region,
        "hosts": [
            {"id": info.host_id, "address": info.entry, "region": info.region}
            for info in found.hosts
        ],
        "ttl_s": round(found.ttl_s, 3),
        "revision": found.revision,
    }
