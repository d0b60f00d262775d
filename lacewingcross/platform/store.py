"""Client of the platform's metadata store.

A call that got no answer may have been done, or may be done seconds later if its
condition still holds; the error's code ``unknown-outcome`` says so.
"""

import json
from urllib.parse import quote

from ..core.membership import HostInfo
from ..core.replica import Document, Kind, Update
from ..errors import PlatformError
from ..http1_client import HttpClient, HttpError, Response
from ..http1_json import JSON_TYPE
from .objects import CONFIG_NAME, HOSTS_PATH, KIND_PATHS

# A store that is only slow answers in a few hundred milliseconds; a longer silence is
# taken for an outage, so that another source is asked in time.
CALL_TIMEOUT_S = 1.0
_ERROR_CODES = {
    400: "bad-request",
    404: "not-found",
    409: "conflict",
    410: "compacted",
    429: "too-many-calls",
    503: "unavailable",
}


class ObjectStore:
    """Calls of the store.

    Parameters
    ----------
    address : str
        ``ip:port`` of the store.
    """

    __slots__ = ("_http", "calls")

    def __init__(self, address: str) -> None:
        self._http = HttpClient(address)
        self.calls = 0

    async def read_all(self, kind: Kind) -> Update:
        """Return all documents of a kind, linearizable."""
        documents: list[Document] = []
        after = ""
        while True:
            data = await self._get(KIND_PATHS[kind], after=after)
            documents += [_document(kind, item, False) for item in data["items"]]
            if not data.get("has_more"):
                found = _relevant(kind, documents)
                return Update(kind, 0, int(data["as_of"]), found, whole=True)
            after = documents[-1].name

    async def watch(self, kind: Kind, revision: int, wait_s: float) -> Update:
        """Wait for changes of a kind after a revision; none when there were none.

        Raises
        ------
        PlatformError
            With code ``compacted`` when the store no longer has the changes.
        """
        data = await self._get(
            KIND_PATHS[kind],
            timeout_s=wait_s + CALL_TIMEOUT_S,
            watch=revision,
            wait_ms=int(wait_s * 1000),
        )
        documents = [
            _document(kind, event["object"], bool(event["deleted"]))
            for event in data["events"]
        ]
        found = _relevant(kind, documents)
        return Update(kind, revision, int(data["as_of"]), found)

    async def hosts(self, *, stale: bool = False) -> list[HostInfo]:
        """Return the entry hosts that have named themselves.

        A stale reading costs a tenth of the price and may be some seconds old.
        """
        found: list[HostInfo] = []
        after = ""
        while True:
            data = await self._get(
                HOSTS_PATH, after=after, allow_stale="1" if stale else ""
            )
            found += [_host(item["metadata"]["name"], item) for item in data["items"]]
            if not data.get("has_more"):
                return found
            after = found[-1].host_id

    async def put_host(self, info: HostInfo) -> None:
        """Name an entry host, whether or not it was named before."""
        spec = {
            "region": info.region,
            "failure_domain": info.failure_domain,
            "entry": info.entry,
            "peer": info.peer,
        }
        body = {"metadata": {"name": info.host_id}, "spec": spec}
        path = f"/v1/objects/{HOSTS_PATH}"
        try:
            await self._call("POST", path, body)
        except PlatformError as exc:
            if exc.code != "conflict":
                raise
            await self._call("PUT", f"{path}/{quote(info.host_id)}", body)

    async def delete_host(self, host_id: str) -> None:
        """Take an entry host's name away."""
        try:
            await self._call("DELETE", f"/v1/objects/{HOSTS_PATH}/{quote(host_id)}")
        except PlatformError as exc:
            if exc.code != "not-found":
                raise

    async def _get(
        self, path: str, timeout_s: float = CALL_TIMEOUT_S, **query: object
    ) -> dict:
        pairs = [f"{key}={quote(str(val))}" for key, val in query.items() if val != ""]
        target = f"/v1/objects/{path}" + ("?" + "&".join(pairs) if pairs else "")
        return await self._call("GET", target, timeout_s=timeout_s)

    async def _call(
        self,
        method: str,
        target: str,
        body: object = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> dict:
        self.calls += 1
        data = b"" if body is None else json.dumps(body).encode()
        headers = JSON_TYPE if data else None
        try:
            response = await self._http.request(
                method, target, headers, data, timeout_s
            )
        except HttpError as exc:
            lost = exc.sent and method != "GET"
            code = "unknown-outcome" if lost else "unavailable"
            raise PlatformError(code, f"{method} {target}: {exc}") from exc
        return _decode(response, f"{method} {target}")

    def close(self) -> None:
        """Close the kept connections."""
        self._http.close()


def _decode(response: Response, call: str) -> dict:
    if response.status >= 300:
        code = _ERROR_CODES.get(response.status, "unavailable")
        raise PlatformError(code, f"{call}: status {response.status}")
    try:
        data = json.loads(response.body) if response.body else {}
    except ValueError as exc:
        raise PlatformError("unavailable", f"{call}: the answer is not JSON") from exc
    return data if isinstance(data, dict) else {}


def _document(kind: Kind, item: dict, deleted: bool) -> Document:
    meta = item["metadata"]
    spec = None if deleted else item.get("spec") or {}
    return Document(kind, meta["name"], int(meta["revision"]), spec)


def _relevant(kind: Kind, documents: list[Document]) -> list[Document]:
    if kind is not Kind.CONFIG:
        return documents
    return [doc for doc in documents if doc.name == CONFIG_NAME]


def _host(name: str, item: dict) -> HostInfo:
    spec = item.get("spec") or {}
    return HostInfo(
        name,
        str(spec.get("region", "")),
        str(spec.get("failure_domain", "")),
        str(spec.get("entry", "")),
        str(spec.get("peer", "")),
    )
