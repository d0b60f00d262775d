"""Watches the configuration and polls the host list in the platform."""

import asyncio

from ... import logs
from ...backoff import Backoff
from ...core.config import CONFIG_KINDS, Entry
from ...core.events import ConfigSeen, HostsListed
from ...core.resources import encode_value, split_key
from ...errors import PlatformError
from ...platform_client import Listing, PlatformClient
from ..runtime import Runtime

ELECTION_CHECK_INTERVAL_S = 1.0
# The interval between two polls of the host list grows with the number of hosts, up
# from its minimum; it is 10 s with 4500 hosts.
MIN_LIST_INTERVAL_S = 1.0
LIST_INTERVAL_PER_HOST_S = 10.0 / 4_500


class ConfigWatcher:
    """Lists the configuration once, then watches it for changes.

    It lists the configuration again when the platform has compacted the history that
    the watch needs. The first list is read at the start; after that, the platform is
    called only while this host is elected to watch.
    """

    __slots__ = ("_listed", "_platform", "_revision", "_runtime")

    def __init__(self, runtime: Runtime, platform: PlatformClient) -> None:
        self._runtime = runtime
        self._platform = platform
        self._listed = False
        self._revision = 0

    async def run(self) -> None:
        """Watch the configuration until cancelled."""
        view = self._runtime.core.view
        backoff = Backoff(view.rng)
        while True:
            if self._listed and not view.should_watch(self._runtime.now()):
                await asyncio.sleep(ELECTION_CHECK_INTERVAL_S)
                continue
            try:
                await self._list_or_watch()
                backoff.reset()
            except PlatformError as exc:
                if exc.code == "compacted":
                    self._listed = False
                self._runtime.metrics.count(f"platform.watch-{exc.code}")
                await backoff.wait()

    async def _list_or_watch(self) -> None:
        if not self._listed:
            self._apply_listing(await self._platform.list(*CONFIG_KINDS))
            self._listed = True
            return
        changes = await self._platform.watch(CONFIG_KINDS, self._revision)
        self._revision = changes.revision
        if changes.objects:
            self._dispatch_entries(_entries(changes), changes.revision)

    def _apply_listing(self, listing: Listing) -> None:
        entries = _entries(listing)
        listed = {entry.key for entry in entries}
        config = self._runtime.core.view.config
        for key, entry in config.entries.items():
            missing = key not in listed and entry.version <= listing.revision
            if missing and entry.text and split_key(key)[0] in CONFIG_KINDS:
                # The object was deleted while this host did not watch. Its absence from
                # the list is the only sign of the deletion.
                entries.append(Entry(key, listing.revision, ""))
        self._revision = listing.revision
        self._dispatch_entries(entries, listing.revision)
        logs.event("config-listed", revision=listing.revision, entries=len(entries))

    def _dispatch_entries(self, entries: list[Entry], revision: int) -> None:
        self._runtime.dispatch(ConfigSeen(entries, revision))


def _entries(listing: Listing) -> list[Entry]:
    return [
        Entry(
            item.key,
            item.version,
            "" if item.value is None else encode_value(item.value),
        )
        for item in listing.objects
    ]


class HostListPoller:
    """Polls the platform's list of hosts while this host is elected to watch."""

    __slots__ = ("_platform", "_runtime")

    def __init__(self, runtime: Runtime, platform: PlatformClient) -> None:
        self._runtime = runtime
        self._platform = platform

    async def run(self) -> None:
        """Poll until cancelled, at an interval that grows with the number of hosts.

        Jitter of 10% either way spreads the polls of different hosts.
        """
        view = self._runtime.core.view
        backoff = Backoff(view.rng)
        while True:
            if not view.should_watch(self._runtime.now()):
                await asyncio.sleep(ELECTION_CHECK_INTERVAL_S)
                continue
            try:
                listing = await self._platform.hosts()
            except PlatformError as exc:
                self._runtime.metrics.count(f"platform.hosts-{exc.code}")
                await backoff.wait()
                continue
            backoff.reset()
            event = HostsListed(listing.hosts, listing.leaving_servers)
            self._runtime.dispatch(event)
            interval_s = max(
                MIN_LIST_INTERVAL_S, LIST_INTERVAL_PER_HOST_S * len(listing.hosts)
            )
            await asyncio.sleep(interval_s * view.rng.uniform(0.9, 1.1))
