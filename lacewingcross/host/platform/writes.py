"""Carries out the core's conditional writes and its reads in the platform."""

import asyncio

from ...backoff import Backoff
from ...core.actions import (
    CreateObject,
    DeleteObject,
    LoadObjects,
    UpdateObject,
)
from ...core.events import ObjectsLoaded, StoredSpec, WriteEnded
from ...core.resources import split_key
from ...errors import PlatformError
from ...platform_client import PlatformClient
from ..runtime import Runtime

MAX_DELETE_TRIES = 10


class PlatformWriter:
    """Runs each write or read as a task, and reports its result to the core.

    A delete reports no result.
    """

    __slots__ = ("_platform", "_runtime", "_tasks")

    def __init__(self, runtime: Runtime, platform: PlatformClient) -> None:
        self._runtime = runtime
        self._platform = platform
        self._tasks: set[asyncio.Task[None]] = set()
        runtime.register_performer(self._begin_write, CreateObject, UpdateObject)
        runtime.register_performer(self._begin_delete, DeleteObject)
        runtime.register_performer(self._begin_load, LoadObjects)

    def _begin_write(self, action: CreateObject | UpdateObject) -> None:
        self._spawn(self._write(action))

    def _begin_delete(self, action: DeleteObject) -> None:
        self._spawn(self._delete(action))

    def _begin_load(self, action: LoadObjects) -> None:
        self._spawn(self._load(action))

    def _spawn(self, coro) -> None:
        """Run a coroutine as a task, and refer to the task until it ends."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _write(self, action: CreateObject | UpdateObject) -> None:
        try:
            if isinstance(action, CreateObject):
                stored = await self._platform.create(action.key, action.spec)
            else:
                stored = await self._platform.update(
                    action.key, action.spec, action.if_version
                )
            ended = WriteEnded(action.call_id, "ok", stored.version)
        except PlatformError as exc:
            self._runtime.metrics.count(f"platform.write-{exc.code}")
            ended = await self._ended_in_error(action, exc)
        self._runtime.dispatch(ended)

    async def _ended_in_error(
        self, action: CreateObject | UpdateObject, exc: PlatformError
    ) -> WriteEnded:
        """Return the event for a failed write.

        A missing object counts as a conflict, with the stored version if there is one;
        any other error is reported as ``unavailable``.
        """
        if exc.code not in ("conflict", "not-found"):
            return WriteEnded(action.call_id, "unavailable")
        try:
            stored = await self._platform.get(action.key)
            return WriteEnded(action.call_id, "conflict", stored.version)
        except PlatformError:
            return WriteEnded(action.call_id, "conflict")

    async def _load(self, action: LoadObjects) -> None:
        try:
            listing = await self._platform.list(action.kind)
            objects = [
                StoredSpec(split_key(item.key)[1], item.version, item.spec())
                for item in listing.objects
                if isinstance(item.spec(), dict)
            ]
        except PlatformError as exc:
            self._runtime.metrics.count(f"platform.load-{exc.code}")
            objects = None
        self._runtime.dispatch(ObjectsLoaded(action.call_id, objects))

    async def _delete(self, action: DeleteObject) -> None:
        """Delete an object that nothing refers to, in up to `MAX_DELETE_TRIES` tries.

        An object that stays after the last try does no harm.
        """
        backoff = Backoff(self._runtime.core.view.rng)
        for _ in range(MAX_DELETE_TRIES):
            try:
                stored = await self._platform.get(action.key)
                await self._platform.delete(action.key, stored.version)
                return
            except PlatformError as exc:
                if exc.code == "not-found":
                    return
            await backoff.wait()

    def close(self) -> None:
        """Cancel the writes, deletes and reads that still run."""
        for task in self._tasks:
            task.cancel()
