"""Keeps the last readable configuration in the store, for hosts that start later."""

from .. import logs
from ..core.replica import Kind
from ..core.store_position import START
from ..errors import PlatformError, UserError
from ..platform.store import LastConfiguration, ObjectStore
from .context import Gateway
from .store_reviews import review_repeatedly

# How often the configuration in force is compared with the stored one, in seconds.
REVIEW_INTERVAL_S = 0.5
# Minimum time between two writes, in seconds: operators may change the configuration
# several times a second, and only the last version is needed.
WRITE_INTERVAL_S = 5.0
# Time between two reads while the store has no usable last configuration, in seconds.
READ_INTERVAL_S = 2.0


class LastConfigurationStore:
    """Stores the configuration in force, and takes it when nothing else can be read.

    Guards against a restart of all hosts while the store holds a configuration that
    cannot be read. Running hosts keep the last good one; after the restart none of them
    would know it, and all would refuse all callers until the operator writes again.

    The host of rank 0 writes. A host that has read the configuration and has none in
    force reads what was written.

    Parameters
    ----------
    gateway : Gateway
        Shared state of this host.
    store : ObjectStore
        Client of the store.
    """

    __slots__ = ("_gateway", "_read_at", "_store", "_stored", "_written_at")

    def __init__(self, gateway: Gateway, store: ObjectStore) -> None:
        self._gateway = gateway
        self._store = store
        # What the store has, as far as this host knows; None if it does not.
        self._stored: LastConfiguration | None = None
        self._read_at = float("-inf")
        self._written_at = float("-inf")

    async def run(self) -> None:
        """Review the stored configuration at intervals until cancelled."""
        rng = self._gateway.steering.rng
        await review_repeatedly(self.review, REVIEW_INTERVAL_S, rng, self._note_failure)

    def _note_failure(self, exc: PlatformError) -> None:
        self._stored = None
        self._gateway.metrics.count(f"store.last-configuration-{exc.code}")

    async def review(self) -> None:
        """Make the call that is due: a read, or a write."""
        now = self._gateway.now()
        if self._is_missing():
            if now - self._read_at >= READ_INTERVAL_S:
                self._read_at = now
                await self._take()
        elif self._may_write(now):
            await self._write()

    def _is_missing(self) -> bool:
        """Return whether the configuration was read and none is in force.

        At the first start of the whole system the operator may not have written one
        yet, which is no reason to look for an earlier one.
        """
        steering = self._gateway.steering
        if steering.table is not None or steering.replica.as_of(Kind.CONFIG) <= START:
            return False
        return bool(steering.replica.known(Kind.CONFIG)) or (
            not self._gateway.cfg.first_start
        )

    async def _take(self) -> None:
        stored = await self._store.last_configuration()
        try:
            taken = stored.revision and self._gateway.take_configuration(stored.spec)
        except UserError as exc:
            logs.event("last-configuration-refused", "ERROR", why=exc.message)
            return
        if taken:
            logs.event("last-configuration-taken", "WARNING", config=stored.version)

    def _may_write(self, now: float) -> bool:
        steering = self._gateway.steering
        if self._gateway.rank != 0 or steering.table is None:
            return False
        known = self._stored
        is_newer = known is None or steering.config_version > known.version
        return is_newer and now - self._written_at >= WRITE_INTERVAL_S

    async def _write(self) -> None:
        steering = self._gateway.steering
        stored = self._stored or await self._store.last_configuration()
        self._stored = stored
        if steering.config_version <= stored.version:
            return
        self._written_at = self._gateway.now()
        self._stored = await self._store.put_last_configuration(
            steering.config_spec, stored
        )
