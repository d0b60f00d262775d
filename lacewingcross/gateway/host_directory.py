"""Keeps this host's entry in the store's list of hosts, and finds other hosts there."""

import asyncio

from .. import logs
from ..backoff import Backoff
from ..errors import PlatformError
from ..platform.store import ObjectStore
from .context import Gateway

# Interval at which active hosts, and standby hosts without a live relay, read the list
# of hosts again, in seconds, to find hosts whose `Hello` was missed. The active hosts
# send the hosts that they find to the standby hosts.
HOST_LIST_INTERVAL_S = 10.0
# Interval at which a host that receives messages from no other host reads the list
# again, in seconds.
ALONE_INTERVAL_S = 1.0
# Maximum number of pauses of `ALONE_INTERVAL_S` between reads of the list. After them,
# a host without live peers uses `HOST_LIST_INTERVAL_S`, since it may be the only host.
MAX_ALONE_READS = 5
# A host checks its entry at a random time within this many seconds after it has learned
# that the store was restored. So 4,500 hosts make 450 calls a second.
CHECK_SPREAD_S = 10.0
# How often a host looks whether the store was restored, in seconds.
ERA_REVIEW_INTERVAL_S = 0.5


class HostDirectory:
    """Registers this host in the store and finds the other hosts there.

    Guards against a host that the list lacks for good: it registers, and the store
    comes back from a copy that is older. Hosts that start later would not find it. So
    each host checks its own entry after a restore.

    Guards against an entry of a host that has left, which would stay in the list for
    good: this host registers or checks its entry while it shuts down, and the write
    arrives after the deletion. So a host that leaves writes no more, and waits for its
    last write before it deletes the entry.

    Parameters
    ----------
    gateway : Gateway
        Shared state of this host.
    store : ObjectStore
        Client of the store.
    """

    __slots__ = ("_alone_reads", "_era", "_gateway", "_left", "_store", "_writing")

    def __init__(self, gateway: Gateway, store: ObjectStore) -> None:
        self._gateway = gateway
        self._alone_reads = 0
        # Era of the store in which the entry of this host was last seen there.
        self._era = 0
        # Whether this host has begun to delete its entry.
        self._left = False
        self._store = store
        # Held during a write of this host's entry.
        self._writing = asyncio.Lock()

    async def run(self) -> None:
        """Register this host, then read the list of hosts at intervals.

        Once registered, a standby host with a relay that is alive does not read the
        list: the relay sends it the other hosts.
        """
        registered = False
        backoff = Backoff(self._gateway.steering.rng)
        while True:
            try:
                if not registered:
                    await self._register()
                    registered = True
                elif not self._gateway.roster.has_live_relay(self._gateway.now()):
                    await self._refresh_list()
                backoff.reset()
                await self._pause(self._choose_pause_s())
            except PlatformError as exc:
                self._gateway.metrics.count(f"store.hosts-{exc.code}")
                await backoff.wait()

    async def _pause(self, pause_s: float) -> None:
        """Wait before the list is read again; check the entry after a restore."""
        deadline_at = self._gateway.now() + pause_s
        while (left_s := deadline_at - self._gateway.now()) > 0:
            if self._known_era() > self._era:
                await self._check_entry()
            await asyncio.sleep(min(left_s, ERA_REVIEW_INTERVAL_S))

    def _known_era(self) -> int:
        """Return the latest era of the store that this host or a peer has seen."""
        return max(self._store.era, self._gateway.steering.replica.era)

    async def _check_entry(self) -> None:
        """Write the entry of this host again if the store has lost it."""
        era = self._known_era()
        await asyncio.sleep(self._gateway.steering.rng.uniform(0.0, CHECK_SPREAD_S))
        own = self._gateway.roster.own
        if await self._store.host(own.host_id) != own and await self._write_entry():
            logs.event("host-registered-again", era=era)
        self._era = era

    async def _refresh_list(self) -> None:
        if not await self._read_list(stale=self._has_live_peers()):
            # This host is missing from the list, or is listed with other fields. An
            # earlier run of it requested the deletion of its entry, and the store may
            # carry that out seconds late.
            await self._write_entry()

    async def _write_entry(self) -> bool:
        """Write this host's entry unless the host leaves; return whether it did."""
        async with self._writing:
            if self._left:
                return False
            await self._store.put_host(self._gateway.roster.own)
            return True

    def _has_live_peers(self) -> bool:
        return len(self._gateway.roster.live(self._gateway.now())) > 1

    def _choose_pause_s(self) -> float:
        """Choose the time until the list is read again, in seconds.

        Each choice of `ALONE_INTERVAL_S` is counted, see `MAX_ALONE_READS`.

        Guards against hosts that start together, of which the first ones read a list
        that does not contain an active host yet. They would become standby hosts
        without any host that sends them updates. They soon read the list again.
        """
        if self._has_live_peers() or self._alone_reads >= MAX_ALONE_READS:
            return HOST_LIST_INTERVAL_S
        self._alone_reads += 1
        return ALONE_INTERVAL_S

    async def _register(self) -> None:
        """Register this host unless it is registered already, and find other hosts.

        A host that is not in the list adds itself and reads the list after that: of two
        hosts that start together, at least one finds the other and sends it a `Hello`.
        A host that was killed is still in the list when it starts again. It reads the
        list first, finds itself there and does not write its entry. That saves two of
        six calls when a fleet starts again. When the whole system starts for the first
        time, no host is registered, so the list is not read first.
        """
        if not self._gateway.cfg.first_start and await self._read_list(stale=False):
            self._gateway.roster.was_listed = True
            return
        await self._write_entry()
        await self._read_list(stale=False)

    async def _read_list(self, *, stale: bool) -> bool:
        """Add the registered hosts to the roster and update this host's rank.

        Returns
        -------
        registered : bool
            Whether this host is in the list with its present fields.
        """
        roster = self._gateway.roster
        now = self._gateway.now()
        listing = await self._store.hosts(stale=stale)
        for info in listing.hosts:
            if roster.learn(info, now):
                logs.event("host-learnt", host_id=info.host_id, peer=info.peer)
        roster.listed = True
        roster.review(now)
        self._gateway.review_rank(now)
        self._gateway.hosts_changed()
        registered = roster.own in listing.hosts
        if registered and not stale:
            self._era = max(self._era, listing.era)
        return registered

    async def leave(self) -> None:
        """Remove this host from the list of entry hosts in the store.

        A failure is logged and not raised.
        """
        self._left = True
        try:
            async with self._writing:
                await self._store.delete_host(self._gateway.roster.own.host_id)
        except PlatformError as exc:
            logs.event("host-not-unnamed", "WARNING", code=exc.code, why=exc.message)
