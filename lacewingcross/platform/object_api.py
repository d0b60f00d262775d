"""Client of the platform's object API: one method for each call, errors with codes.

A write whose response is lost may have been carried out, or may be carried out seconds
later if its condition still holds. The error then has the code ``unknown-outcome``. So
has a write that was acknowledged in an earlier era than that of another response: the
store may have lost it.
"""

import json
import ssl as ssl_module
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from typing import TypeVar
from urllib.parse import quote

from .. import headers as hd
from .. import logs
from ..core.store_position import StorePosition
from ..errors import PlatformError, UnreadableError
from ..http1_client import HttpClient, HttpError, Response
from ..http1_json import JSON_TYPE
from ..strict_json import decode
from .stored_items import (
    StoredItem,
    read_changes,
    read_event,
    read_item,
    read_page,
)

_Value = TypeVar("_Value")

# Timeout of a call, in seconds. A platform that is only slow answers within a few
# hundred milliseconds. A longer silence counts as an outage, so that another source of
# the data, such as another host, is used in time.
CALL_TIMEOUT_S = 1.0
# Header of every response of the platform: a whole number that rises by one whenever
# the platform comes back from an older copy of its objects.
STORE_ERA = b"store-era"
# Largest number of digits in an era that is read.
MAX_ERA_DIGITS = 15
# How often a listing is begun again because the platform was restored between two of
# its pages.
MAX_LISTING_STARTS = 3
_ERROR_CODES = {
    400: "bad-request",
    404: "not-found",
    409: "conflict",
    410: "compacted",
    413: "too-large",
    429: "too-many-calls",
    503: "unavailable",
}


@dataclass(slots=True, frozen=True)
class ApiObject:
    """One object at one position; `spec` is None if the object was deleted."""

    name: str
    position: StorePosition
    spec: object


@dataclass(slots=True, frozen=True)
class ApiObjects:
    """All objects of one kind, or their changes, complete up to position `as_of`.

    Objects whose name or revision cannot be read are left out. The spec of an object of
    which only the spec cannot be read is `UNREADABLE_SPEC`.
    """

    as_of: StorePosition
    items: list[ApiObject]


@dataclass(slots=True, frozen=True)
class Answer:
    """The body of a response, and the era of the platform in which it was made.

    A response that does not state its era counts as one of the latest era known.
    `call` names the call in errors.
    """

    body: bytes
    era: int
    call: str

    def read(self, reader: Callable[[bytes], _Value]) -> _Value:
        """Return what a function reads from the body.

        Raises
        ------
        PlatformError
            With code ``unreadable`` when the function cannot read it.
        """
        try:
            return reader(self.body)
        except UnreadableError as exc:
            raise PlatformError("unreadable", f"{self.call}: {exc}") from exc

    def data(self) -> dict:
        """Return the decoded body, empty if it is no JSON object."""
        data = self.read(decode) if self.body else {}
        return data if isinstance(data, dict) else {}


class ObjectApi:
    """Calls of the object API.

    Parameters
    ----------
    address : str
        ``ip:port`` of the platform.
    ssl : ssl.SSLContext, optional
        Context for TLS; without it the connection is not encrypted.
    timeout_s : float, optional
        Timeout of a call, in seconds. A watch may take its wait on top of that.

    Attributes
    ----------
    calls : int
        Number of calls made.
    era : int
        Highest era of the platform in any response so far, errors included; 0 if none
        stated an era.
    """

    __slots__ = ("_http", "_timeout_s", "calls", "era")

    def __init__(
        self,
        address: str,
        ssl: ssl_module.SSLContext | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._http = HttpClient(address, ssl)
        self._timeout_s = timeout_s
        self.calls = 0
        self.era = 0

    async def list(self, kind: str, *, stale: bool = False) -> ApiObjects:
        """Read all pages of a listing and return the objects of a kind.

        Parameters
        ----------
        kind : str
            Kind in the path of the API.
        stale : bool, optional
            Accept data that may be some seconds old, at a tenth of the price.
        """
        for _ in range(MAX_LISTING_STARTS):
            listing = await self._list_in_one_era(kind, stale=stale)
            if listing is not None:
                return listing
        raise PlatformError("unavailable", f"{kind}: restored during each listing")

    async def _list_in_one_era(self, kind: str, *, stale: bool) -> ApiObjects | None:
        """Read all pages; return None if they are not of the same era.

        The result is complete up to the revision of the first page only: an object of
        that page may have changed before the next one was read.
        """
        objects: list[ApiObject] = []
        as_of: StorePosition | None = None
        while True:
            query = {
                "after": objects[-1].name if objects else "",
                "allow_stale": "1" if stale else "",
            }
            answer = await self._call("GET", _target(kind, query=query))
            page = answer.read(read_page)
            as_of = as_of or StorePosition(answer.era, page.as_of)
            if as_of.era != answer.era:
                return None
            readable = list(_readable_items(kind, page.items, as_of.era))
            objects += readable
            if not page.has_more:
                return ApiObjects(as_of, objects)
            if not readable:
                # The name after which the next page starts is not known. A listing
                # that ends here would show the objects after it as deleted.
                raise PlatformError("unreadable", f"{kind}: a page without a name")

    async def watch(self, kind: str, revision: int, wait_s: float) -> ApiObjects:
        """Wait for changes of a kind after a revision.

        The revision is taken for one of the era in which the platform answers: the
        caller has to compare the era of the result with that of the revision.

        Parameters
        ----------
        kind : str
            Kind in the path of the API.
        revision : int
            Changes after this revision are returned.
        wait_s : float
            How long to wait for a change, in seconds. Without one the result is empty.

        Raises
        ------
        PlatformError
            With code ``compacted`` when the platform no longer has the changes.
        """
        query = {"watch": revision, "wait_ms": int(wait_s * 1000)}
        target = _target(kind, query=query)
        answer = await self._call("GET", target, wait_s=wait_s)
        changes = answer.read(read_changes)
        items = list(_readable_events(kind, changes.events, answer.era))
        return ApiObjects(StorePosition(answer.era, changes.as_of), items)

    async def get(self, kind: str, name: str) -> ApiObject:
        """Return an object; the error code is ``not-found`` if it does not exist."""
        return _object_in(await self._call("GET", _target(kind, name)))

    async def create(self, kind: str, name: str, spec: object) -> ApiObject:
        """Create an object; the error code is ``conflict`` if it exists already."""
        body = {"metadata": {"name": name}, "spec": spec}
        return _object_in(await self._call("POST", _target(kind), body))

    async def replace(
        self, kind: str, name: str, spec: object, revision: int = 0
    ) -> ApiObject:
        """Replace an object.

        With a `revision` other than 0, the error code is ``conflict`` if the object is
        at another revision.
        """
        metadata: dict[str, object] = {"name": name}
        if revision:
            metadata["revision"] = revision
        body = {"metadata": metadata, "spec": spec}
        return _object_in(await self._call("PUT", _target(kind, name), body))

    async def delete(self, kind: str, name: str, revision: int = 0) -> StorePosition:
        """Delete an object.

        With a `revision` other than 0, the error code is ``conflict`` if the object is
        at another revision.

        Returns
        -------
        deleted_at : StorePosition
            Position of the deletion; its revision is 0 if the platform does not return
            it.
        """
        query = {"revision": revision or ""}
        answer = await self._call("DELETE", _target(kind, name, query))
        metadata = answer.data().get("metadata")
        revision = metadata.get("revision") if isinstance(metadata, dict) else 0
        return StorePosition(answer.era, revision if isinstance(revision, int) else 0)

    async def call(self, method: str, target: str) -> dict:
        """Make one call and return the decoded body of the response."""
        return (await self._call(method, target)).data()

    async def _call(
        self, method: str, target: str, body: object = None, wait_s: float = 0.0
    ) -> Answer:
        """Make one call and return the decoded response.

        Parameters
        ----------
        method : str
            HTTP method.
        target : str
            Path and query.
        body : object, optional
            Sent as JSON; None for no body.
        wait_s : float, optional
            Time that is added to the timeout, in seconds.

        Raises
        ------
        PlatformError
            With a code of `_ERROR_CODES`, or ``unknown-outcome`` for a write whose
            response was lost, or is of an era before the latest one known. The code is
            ``unavailable`` for any other failure: no connection, a lost response to a
            read, or an unlisted status.
        """
        self.calls += 1
        data = b"" if body is None else encode(body)
        headers = JSON_TYPE if data else None
        try:
            response = await self._http.request(
                method, target, headers, data, self._timeout_s + wait_s
            )
        except HttpError as exc:
            may_have_run = exc.sent and method != "GET"
            code = "unknown-outcome" if may_have_run else "unavailable"
            raise PlatformError(code, f"{method} {target}: {exc}") from exc
        era = _stated_era(response) or self.era
        self.era = max(self.era, era)
        call = f"{method} {target}"
        _raise_for_status(response, call)
        if method != "GET" and era < self.era:
            raise PlatformError("unknown-outcome", f"{call}: era {era}")
        return Answer(response.body, era, call)

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()


def encode(body: object) -> bytes:
    """Return the JSON of a body as bytes."""
    return json.dumps(body, separators=(",", ":")).encode()


def _target(kind: str, name: str = "", query: dict[str, object] | None = None) -> str:
    path = f"/v1/objects/{quote(kind)}"
    if name:
        path += f"/{quote(name, safe='')}"
    pairs = [f"{key}={quote(str(value))}" for key, value in (query or {}).items()]
    pairs = [pair for pair in pairs if not pair.endswith("=")]
    return path + ("?" + "&".join(pairs) if pairs else "")


def _stated_era(response: Response) -> int:
    """Return the era that a response states; 0 for none that can be read."""
    text = hd.find(response.headers, STORE_ERA)
    readable = text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS
    return int(text) if readable else 0


def _raise_for_status(response: Response, call: str) -> None:
    """Raise the error of a response that reports one."""
    if response.status < 300:
        return
    try:
        data = decode(response.body)
    except UnreadableError:
        data = None
    code = _ERROR_CODES.get(response.status, "unavailable")
    detail = str(data.get("message", ""))[:200] if isinstance(data, dict) else ""
    raise PlatformError(code, f"{call}: status {response.status} {detail}".rstrip())


def _object_in(answer: Answer) -> ApiObject:
    return _api_object(answer.read(read_item), answer.era)


def _readable_items(
    kind: str, raw_items: Iterable[bytes], era: int
) -> Iterator[ApiObject]:
    """Yield the objects of a listing; one that cannot be read is logged instead."""
    for raw in raw_items:
        try:
            yield _api_object(read_item(bytes(raw)), era)
        except UnreadableError as exc:
            _log_unreadable(kind, exc)


def _readable_events(
    kind: str, raw_events: Iterable[bytes], era: int
) -> Iterator[ApiObject]:
    """Yield the changes of a watch; one that cannot be read is logged instead."""
    for raw in raw_events:
        try:
            event = read_event(bytes(raw))
            item = read_item(bytes(event.object))
        except UnreadableError as exc:
            _log_unreadable(kind, exc)
            continue
        found = _api_object(item, era)
        yield replace(found, spec=None) if event.deleted else found


def _api_object(item: StoredItem, era: int) -> ApiObject:
    return ApiObject(item.name, StorePosition(era, item.revision), item.spec)


def _log_unreadable(kind: str, exc: UnreadableError) -> None:
    logs.event("store-item-unreadable", "ERROR", kind=kind, why=str(exc))
