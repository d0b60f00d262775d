"""Client of the platform's object API, with answers lost after a write resolved."""

import json
import ssl as ssl_module
import uuid
from dataclasses import dataclass
from urllib.parse import quote

from .core.membership import HostInfo
from .errors import PlatformError
from .http1_client import HttpClient, HttpError, Response

CALL_TIMEOUT_S = 2.0
WATCH_WAIT_S = 20.0
MAX_OBJECT = 1_000_000
WRITE_TRIES = 3


@dataclass(slots=True, frozen=True)
class StoredObject:
    """An object as the platform holds it; `value` is None for a deleted one."""

    key: str
    version: int
    value: object

    def spec(self) -> object:
        """Return what the writer stored, without the write id."""
        return self.value.get("spec") if isinstance(self.value, dict) else None

    def write_id(self) -> str:
        """Return the id of the write that made this version."""
        return self.value.get("write_id", "") if isinstance(self.value, dict) else ""

    def writer(self) -> str:
        """Return who wrote this version."""
        return self.value.get("by", "") if isinstance(self.value, dict) else ""


@dataclass(slots=True, frozen=True)
class Listing:
    """Objects at one version of the whole store."""

    revision: int
    objects: list[StoredObject]


@dataclass(slots=True, frozen=True)
class HostListing:
    """The platform's list of hosts, which lags."""

    hosts: list[HostInfo]
    leaving_servers: frozenset[str]


class PlatformClient:
    """Calls of the object API.

    Parameters
    ----------
    address : str
        ``ip:port`` of the platform.
    ssl : ssl.SSLContext, optional
        For TLS.
    writer : str, default=""
        Stored with each write, so that a conflict can say who won.
    """

    __slots__ = ("_http", "_watcher", "_writer")

    def __init__(
        self,
        address: str,
        ssl: ssl_module.SSLContext | None = None,
        writer: str = "",
    ) -> None:
        self._writer = writer
        self._http = HttpClient(address, ssl)
        self._watcher = HttpClient(address, ssl)

    async def get(self, key: str) -> StoredObject:
        """Return an object; code ``not-found`` when there is none."""
        data = self._data(await self._call("GET", f"/v1/objects/{_path(key)}"))
        return _object(data)

    async def list(self, *kinds: str) -> Listing:
        """Return all objects of some kinds."""
        target = "/v1/objects?kinds=" + ",".join(kinds)
        return _listing(self._data(await self._call("GET", target)), "objects")

    async def watch(
        self, kinds: tuple[str, ...], after: int, wait_s: float = WATCH_WAIT_S
    ) -> Listing:
        """Wait for changes above version `after`; an empty listing on timeout."""
        target = (
            f"/v1/watch?kinds={','.join(kinds)}&after={after}"
            f"&wait_ms={int(wait_s * 1000)}"
        )
        response = await self._call("GET", target, timeout_s=wait_s + CALL_TIMEOUT_S)
        return _listing(self._data(response), "events")

    async def create(self, key: str, spec: object, write_id: str = "") -> StoredObject:
        """Create an object; code ``conflict`` when it exists."""
        return await self._write("POST", key, spec, "", write_id)

    async def update(
        self, key: str, spec: object, if_version: int, write_id: str = ""
    ) -> StoredObject:
        """Replace an object; code ``conflict`` when its version has moved on."""
        query = f"?if_version={if_version}"
        return await self._write("PUT", key, spec, query, write_id)

    async def delete(self, key: str, if_version: int) -> int:
        """Delete an object; return the version of the deletion."""
        target = f"/v1/objects/{_path(key)}?if_version={if_version}"
        data = self._data(await self._call("DELETE", target))
        return int(data["version"])

    async def hosts(self) -> HostListing:
        """Return the platform's list of hosts."""
        data = self._data(await self._call("GET", "/v1/hosts"))
        hosts = [
            HostInfo(
                item["host_id"],
                item["region"],
                item["failure_domain"],
                item["entry"],
                item["peer"],
                item["state"],
            )
            for item in data["hosts"]
        ]
        return HostListing(hosts, frozenset(data.get("leaving_servers", ())))

    async def _write(
        self, method: str, key: str, spec: object, query: str, write_id: str
    ) -> StoredObject:
        """Write, and read back when the answer is lost.

        Failure: the write takes effect and its answer is lost. Taken for a failure
        it would be written twice or reported as refused; taken for a success it
        may never have happened. Each write carries an id of its own, so reading
        the object tells which it was, unless the store cannot be read either.
        """
        write_id = write_id or uuid.uuid4().hex
        value = {"spec": spec, "write_id": write_id, "by": self._writer}
        body = json.dumps(value, separators=(",", ":"), sort_keys=True).encode()
        if len(body) > MAX_OBJECT:
            raise PlatformError("too-large", f"{key}: {len(body)} bytes, at most 1 MB")
        target = f"/v1/objects/{_path(key)}{query}"
        lost = False
        for _ in range(WRITE_TRIES):
            try:
                return _object(self._data(await self._call(method, target, body=body)))
            except PlatformError as exc:
                if exc.code == "conflict" and lost:
                    return await self._own_write(key, write_id, exc)
                if exc.code != "unknown-outcome":
                    raise
                # The same conditional write again cannot take effect twice: if the
                # first one did, the version has moved on and this one conflicts.
                lost = True
        raise PlatformError("unknown-outcome", f"{key}: the store gave no answer")

    async def _own_write(
        self, key: str, write_id: str, conflict: PlatformError
    ) -> StoredObject:
        try:
            stored = await self.get(key)
        except PlatformError as exc:
            raise PlatformError("unknown-outcome", f"{key}: {exc.message}") from exc
        if stored.write_id() == write_id:
            return stored
        raise conflict

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Response:
        http = self._watcher if target.startswith("/v1/watch") else self._http
        try:
            return await http.request(method, target, None, body, timeout_s)
        except HttpError as exc:
            writes = method in ("POST", "PUT", "DELETE")
            code = "unknown-outcome" if writes and exc.sent else "unavailable"
            raise PlatformError(code, f"{method} {target}: {exc}") from exc

    def _data(self, response: Response) -> dict:
        try:
            data = json.loads(response.body)
        except ValueError as exc:
            raise PlatformError("unavailable", "the answer is not JSON") from exc
        if response.status < 300:
            return data
        code = str(data.get("error", "unavailable"))
        raise PlatformError(code, str(data.get("message", response.status)))

    def close(self) -> None:
        """Close the kept connections."""
        self._http.close()
        self._watcher.close()


def _path(key: str) -> str:
    return quote(key, safe="/")


def _object(data: dict) -> StoredObject:
    return StoredObject(data["key"], int(data["version"]), data.get("value"))


def _listing(data: dict, field: str) -> Listing:
    return Listing(int(data["revision"]), [_object(item) for item in data[field]])
