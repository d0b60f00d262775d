"""Claims of idempotency keys: stored in the platform, written in batches.

A claim gives one request the right to run with its key. The claims of a service are
divided into shards. The platform is the object store that all hosts share.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from . import messages as msg
from .actions import (
    Action,
    Count,
    CreateObject,
    DeleteObject,
    LoadObjects,
    Log,
    SendPeer,
    UpdateObject,
)
from .events import ObjectsLoaded, StoredSpec, WriteEnded
from .rendezvous import hash64
from .store_position import StorePosition
from .view import View

# Number of shards of each service.
SHARDS = 4
# Number of claims in the head of a shard above which they move to a segment.
MAX_HEAD_CLAIMS = 400
# Time after which the next batch drops a segment, counted from when this host first saw
# the segment.
SEGMENT_TTL_S = 3600.0
# Minimum time between the starts of two batches of a shard.
MIN_BATCH_INTERVAL_S = 0.03
# Minimum time between the starts of two reads of a shard.
LOAD_RETRY_INTERVAL_S = 0.5
# Time after its last use at which the claims of a shard are removed from memory.
UNUSED_SHARD_TTL_S = 30.0
# Time after which a claim that is not being written is refused.
MAX_CLAIM_WAIT_S = 2.5
HEAD = "head"
# Call ids of plans and reports start at other bases, so that all ids differ.
CALL_ID_BASE = 1 << 45
KIND_PREFIX = "Claims"

CLAIMED = "ok"
TAKEN = "conflict"
UNAVAILABLE = "unavailable"


def shard_of(key_hash: str) -> int:
    """Return the shard of a key's hash."""
    return int(key_hash[:8], 16) % SHARDS


def hash_key(service: str, key: str) -> str:
    """Return a 128-bit hash of a key in hex; the keys themselves are not stored."""
    return f"{hash64(service, key, 'a'):016x}{hash64(service, key, 'b'):016x}"


def claim_id(host_id: str, incarnation: int, request_id: str) -> str:
    """Return the short id of a request's claim, the same each time it is sent."""
    return f"{hash64(host_id, str(incarnation), request_id):016x}"


def shard_kind(service: str, shard: int) -> str:
    """Return the kind of the platform objects that hold a shard's claims."""
    return f"{KIND_PREFIX}.{service}.{shard}"


@dataclass(slots=True)
class PendingClaim:
    """A claim that has not been written yet.

    `host_id` is the host that sent the claim, and `claim` the id of the claim.
    """

    host_id: str
    request_id: str
    key_hash: str
    claim: str
    received_at: float


@dataclass(slots=True)
class Shard:
    """The claims of one shard as this host knows them.

    In the platform a shard is an object ``head`` with the newest claims and the names
    of the segments, which are objects with older claims that never change. Each batch
    is one conditional update of the head. Two owners at the same time therefore do no
    harm: the update of the owner that does not know the newest head fails, and that
    owner then reads the head and finds the keys that the other one has claimed.

    Attributes
    ----------
    index : int
        Index of the shard within the service.
    loaded, loading_since : bool, float
        Whether the fields hold the stored claims, and when the last read started, which
        stays noted after the read has ended.
    head_version : int
        Version of the head in the platform; 0 if there is no head.
    head, freed : dict of str to str
        Claims in the head, and claims that were freed after they were written to a
        segment, which never changes; both by the hash of the key.
    segments : dict of str to dict
        Claims in each segment by the hash of the key, the oldest segment first.
    first_seen_at : dict of str to float
        When this host first saw each segment, in seconds on the monotonic clock.
    waiting : list of PendingClaim
        Claims for the next batch.
    freeing : dict of str to str
        Claims that the next batch frees, by the hash of the key.
    lost : dict of str to str
        Claims in the head that the store has lost and the next batch writes again, by
        the hash of the key.
    batch : Batch or None
        The batch being written.
    call_id : int
        The platform call under way, 0 for none.
    written_at, used_at : float
        When the last batch was started, and when a claim or a freed key last arrived,
        in seconds on the monotonic clock.
    """

    service: str
    index: int
    loaded: bool = False
    loading_since: float = float("-inf")
    head_version: int = 0
    head: dict[str, str] = field(default_factory=dict)
    freed: dict[str, str] = field(default_factory=dict)
    segments: dict[str, dict[str, str]] = field(default_factory=dict)
    first_seen_at: dict[str, float] = field(default_factory=dict)
    waiting: list[PendingClaim] = field(default_factory=list)
    freeing: dict[str, str] = field(default_factory=dict)
    lost: dict[str, str] = field(default_factory=dict)
    batch: "Batch | None" = None
    call_id: int = 0
    written_at: float = float("-inf")
    used_at: float = float("-inf")

    @property
    def kind(self) -> str:
        """Return the kind of the shard's objects."""
        return shard_kind(self.service, self.index)

    def holder(self, key_hash: str) -> str:
        """Return the claim that holds a key, or an empty string.

        The newest claim of a key counts. An older claim may still be in an older
        segment, but it was freed before the newer one was accepted.
        """
        claim = self.head.get(key_hash, "")
        for segment in reversed(self.segments.values()):
            claim = claim or segment.get(key_hash, "")
        return "" if self.freed.get(key_hash) == claim else claim

    def held(self) -> dict[str, str]:
        """Return the claims that hold a key, by the hash of the key."""
        keys = {*self.head, *(key for seg in self.segments.values() for key in seg)}
        return {key: claim for key in keys if (claim := self.holder(key))}

    def has_writes(self) -> bool:
        """Return whether there is something for the next batch to write."""
        return bool(self.waiting or self.freeing or self.lost)

    def keep_lost(self, known: dict[str, str], known_version: int) -> None:
        """Keep the claims that the store has lost since they were written.

        Guards against a booking that runs twice: the store was restored from a copy
        that lacks the claim of its key, and the caller sends it again.

        Parameters
        ----------
        known : dict of str to str
            The claims that this host knew before it read the shard again.
        known_version : int
            Version of the head that they are from; 0 if there was none.
        """
        era = StorePosition.from_version(self.head_version).era
        if era != StorePosition.from_version(known_version).era and known_version:
            self.lost.update(known)
        self.lost = {k: claim for k, claim in self.lost.items() if not self.holder(k)}
        self.head.update(self.lost)

    def unload(self) -> None:
        """Mark the shard to be read again before its next use.

        The stored objects may differ from the fields.
        """
        self.loaded = False


@dataclass(slots=True)
class Batch:
    """The content of one write of the head.

    If the write succeeds, `head`, `freed` and `segments` replace the shard's fields of
    these names. `items` are the claims that the batch adds, and `freeing` the claims
    that it frees, by the hash of the key. `new_segment` names the segment that takes
    the claims of the old head, if the batch makes one.
    """

    items: list[PendingClaim]
    head: dict[str, str]
    freed: dict[str, str]
    segments: dict[str, dict[str, str]]
    freeing: dict[str, str]
    new_segment: str = ""


class ClaimKeeper:
    """Decides the claims that hosts, this one included, send to this host.

    Rendezvous hashing makes one host the owner of a shard, so that claims come in
    batches and writes do not conflict. A host that gets a claim decides it even if the
    host is not the owner: ownership saves writes and is not needed for safety.

    Parameters
    ----------
    view : View
        Shared state.
    """

    __slots__ = ("_calls", "_last_call_id", "_view", "shards")

    def __init__(self, view: View) -> None:
        self._view = view
        self.shards: dict[tuple[str, int], Shard] = {}
        self._calls: dict[int, tuple[str, int]] = {}
        self._last_call_id = CALL_ID_BASE

    def owner_of(self, service: str, shard_index: int, now: float) -> str:
        """Return the host that owns a shard."""
        return self._view.owner_among_live(f"claims/{service}/{shard_index}", now)

    def busy(self) -> bool:
        """Return whether a claim, a freed key or a lost claim waits for the next batch.

        The batch being written does not count, since the end of its write is an event.
        """
        return any(shard.has_writes() for shard in self.shards.values())

    def on_claim(self, host_id: str, claim: msg.Claim, now: float) -> Iterator[Action]:
        """Queue a claim, or answer it immediately if its key is known to be claimed.

        While a call is under way or the shard is not loaded, every claim is queued.
        """
        shard = self._shard(claim.service, claim.key_hash, now)
        item = PendingClaim(host_id, claim.request_id, claim.key_hash, claim.claim, now)
        if shard.loaded and not shard.call_id and shard.holder(claim.key_hash):
            yield self._answer(shard, item, self._outcome(shard, item))
            return
        shard.waiting.append(item)
        yield from self._advance(shard, now)

    def on_unclaim(self, unclaim: msg.Unclaim, now: float) -> Iterator[Action]:
        """Withdraw a request's claim and queue its key to be freed.

        The request is proved not to have run.
        """
        shard = self._shard(unclaim.service, unclaim.key_hash, now)
        shard.waiting = [it for it in shard.waiting if it.claim != unclaim.claim]
        shard.freeing[unclaim.key_hash] = unclaim.claim
        yield from self._advance(shard, now)

    def _shard(self, service: str, key_hash: str, now: float) -> Shard:
        index = shard_of(key_hash)
        key = (service, index)
        if key not in self.shards:
            self.shards[key] = Shard(service, index)
        self.shards[key].used_at = now
        return self.shards[key]

    def _outcome(self, shard: Shard, item: PendingClaim) -> str:
        return CLAIMED if shard.holder(item.key_hash) == item.claim else TAKEN

    def _answer(self, shard: Shard, item: PendingClaim, outcome: str) -> SendPeer:
        message = msg.ClaimEnded(shard.service, item.request_id, item.claim, outcome)
        return SendPeer(item.host_id, message)

    def owns_call(self, call_id: int) -> bool:
        """Return whether a platform call is under way for claims."""
        return call_id in self._calls

    def _new_call(self, shard: Shard) -> int:
        self._last_call_id += 1
        self._calls[self._last_call_id] = (shard.service, shard.index)
        shard.call_id = self._last_call_id
        return self._last_call_id

    def _end_call(self, call_id: int) -> Shard:
        shard = self.shards[self._calls.pop(call_id)]
        shard.call_id = 0
        return shard

    def _advance(self, shard: Shard, now: float) -> Iterator[Action]:
        """Read the shard if it is not loaded, else write the next batch.

        Nothing happens while a call of the shard is under way, without anything to
        write, or before the minimum interval has passed.
        """
        if shard.call_id or not shard.has_writes():
            return
        if not shard.loaded:
            if now - shard.loading_since >= LOAD_RETRY_INTERVAL_S:
                shard.loading_since = now
                yield LoadObjects(self._new_call(shard), shard.kind)
        elif now - shard.written_at >= MIN_BATCH_INTERVAL_S:
            yield from self._write(shard, now)

    def _write(self, shard: Shard, now: float) -> Iterator[Action]:
        """Make a batch of all queued claims and freed keys, and begin to write it.

        A claim of a key that another claim holds is answered immediately. If the batch
        would change nothing, it is not written.
        """
        batch = Batch(
            [], dict(shard.head), dict(shard.freed), dict(shard.segments), shard.freeing
        )
        shard.freeing = {}
        changed = self._apply_freed(shard, batch) or bool(shard.lost)
        for item in shard.waiting:
            holder = batch.head.get(item.key_hash) or shard.holder(item.key_hash)
            if holder and holder != item.claim:
                yield self._answer(shard, item, TAKEN)
                continue
            batch.items.append(item)
            batch.head[item.key_hash] = item.claim
            batch.freed.pop(item.key_hash, None)
            changed = True
        shard.waiting = []
        if not changed:
            return
        self._drop_expired(batch, shard, now)
        shard.batch = batch
        shard.written_at = now
        if len(batch.head) > MAX_HEAD_CLAIMS:
            yield self._write_segment(shard, batch)
        else:
            yield self._write_head(shard, batch)

    def _apply_freed(self, shard: Shard, batch: Batch) -> bool:
        """Free the keys in `batch.freeing`; return whether that changes the shard.

        A key stays claimed if another claim than the one to free holds it.
        """
        changed = False
        for key_hash, claim in batch.freeing.items():
            if shard.holder(key_hash) != claim:
                continue
            changed = True
            if batch.head.get(key_hash) == claim:
                del batch.head[key_hash]
            else:
                batch.freed[key_hash] = claim
        return changed

    def _drop_expired(self, batch: Batch, shard: Shard, now: float) -> None:
        """Drop segments past their TTL, counted from when this host first saw them."""
        for name in list(batch.segments):
            if now - shard.first_seen_at.get(name, now) > SEGMENT_TTL_S:
                old = batch.segments.pop(name)
                for key_hash, claim in old.items():
                    if batch.freed.get(key_hash) == claim:
                        del batch.freed[key_hash]

    def _write_segment(self, shard: Shard, batch: Batch) -> CreateObject:
        """Write the head's claims to a segment; a head without them is written next."""
        # The names sort in the order in which the segments were written.
        batch.new_segment = f"s{shard.head_version:015d}"
        spec = {"claimed": shard.head}
        return CreateObject(
            self._new_call(shard), f"{shard.kind}/{batch.new_segment}", spec
        )

    def _write_head(self, shard: Shard, batch: Batch) -> CreateObject | UpdateObject:
        key = f"{shard.kind}/{HEAD}"
        spec = {
            "claimed": batch.head,
            "freed": batch.freed,
            "segments": sorted(batch.segments),
        }
        call_id = self._new_call(shard)
        if not shard.head_version:
            return CreateObject(call_id, key, spec)
        return UpdateObject(call_id, key, spec, shard.head_version)

    def write_ended(self, ended: WriteEnded, now: float) -> Iterator[Action]:
        """Continue after a write of a segment or of the head."""
        shard = self._end_call(ended.call_id)
        batch = shard.batch
        yield Count(f"claims.write-{ended.outcome}")
        if batch.new_segment and batch.new_segment not in batch.segments:
            # The segment is a copy of the head under a name made of the head's version.
            # A conflict means that an earlier attempt has already written this copy.
            if ended.outcome in ("ok", "conflict"):
                batch.segments[batch.new_segment] = shard.head
                batch.head = {it.key_hash: it.claim for it in batch.items}
                yield self._write_head(shard, batch)
                return
        elif ended.outcome == "ok":
            yield from self._batch_written(shard, batch, ended.version, now)
            yield from self._advance(shard, now)
            return
        # Another owner has written the head first, or the outcome of the write is
        # unknown. No claim of the batch is answered, and no batch is written, until the
        # shard has been read again.
        shard.batch = None
        shard.waiting = batch.items + shard.waiting
        shard.freeing = {**batch.freeing, **shard.freeing}
        shard.unload()
        yield from self._advance(shard, now)

    def _batch_written(
        self, shard: Shard, batch: Batch, version: int, now: float
    ) -> Iterator[Action]:
        shard.batch = None
        shard.lost = {}
        shard.head_version = version
        shard.head = batch.head
        shard.freed = batch.freed
        dropped = [name for name in shard.segments if name not in batch.segments]
        shard.segments = batch.segments
        for name in batch.segments:
            shard.first_seen_at.setdefault(name, now)
        for item in batch.items:
            yield self._answer(shard, item, CLAIMED)
        for name in dropped:
            shard.first_seen_at.pop(name, None)
            yield DeleteObject(f"{shard.kind}/{name}")

    def loaded(self, event: ObjectsLoaded, now: float) -> Iterator[Action]:
        """Replace a shard by what was read from the platform.

        If the shard could not be read whole, all claims that wait are refused.
        """
        shard = self._end_call(event.call_id)
        known, known_version = shard.held(), shard.head_version
        if event.objects is None or not _read_objects(shard, event.objects, now):
            yield Count("claims.load-failed")
            yield from self._refuse_waiting(shard, shard.waiting)
            return
        shard.keep_lost(known, known_version)
        yield Log(
            "claims-loaded",
            {
                "service": shard.service,
                "shard": shard.index,
                "keys": len(shard.head),
                "lost": len(shard.lost),
            },
        )
        held = [item for item in shard.waiting if shard.holder(item.key_hash)]
        for item in held:
            # If the shard now holds the item's own claim, the write of that claim took
            # effect although its outcome was unknown.
            shard.waiting.remove(item)
            yield self._answer(shard, item, self._outcome(shard, item))
        yield from self._advance(shard, now)

    def _refuse_waiting(
        self, shard: Shard, items: list[PendingClaim]
    ) -> Iterator[Action]:
        """Refuse claims that cannot be decided because the platform does not respond.

        A write of such a claim may still have taken effect. Its key is queued to be
        freed, so that the caller's next attempt does not find the key taken.
        """
        for item in list(items):
            shard.waiting.remove(item)
            shard.freeing[item.key_hash] = item.claim
            yield self._answer(shard, item, UNAVAILABLE)

    def tick(self, now: float) -> Iterator[Action]:
        """Write queued claims; refuse claims that have waited too long.

        The claims of a shard that was not used for `UNUSED_SHARD_TTL_S` are removed
        from memory.
        """
        for shard in self.shards.values():
            overdue = [
                it for it in shard.waiting if now - it.received_at > MAX_CLAIM_WAIT_S
            ]
            yield from self._refuse_waiting(shard, overdue)
            yield from self._advance(shard, now)
            if (
                shard.loaded
                and not shard.call_id
                and now - shard.used_at > UNUSED_SHARD_TTL_S
            ):
                # The claims of the shard take no memory until its next use, for which
                # it is read again.
                shard.unload()
                shard.head = {}
                shard.segments = {}


def _read_objects(shard: Shard, objects: list[StoredSpec], now: float) -> bool:
    """Fill a shard from its stored objects; return False if a segment is missing."""
    specs = {item.name: item for item in objects}
    head = specs.get(HEAD)
    fields = head.spec if head is not None else {}
    names = fields.get("segments", [])
    if any(name not in specs for name in names):
        # The objects were listed while an owner dropped an old segment; they have to
        # be read again.
        return False
    shard.head_version = head.version if head is not None else 0
    shard.head = dict(fields.get("claimed", {}))
    shard.freed = dict(fields.get("freed", {}))
    shard.segments = {name: dict(specs[name].spec["claimed"]) for name in names}
    shard.first_seen_at = {
        name: shard.first_seen_at.get(name, now) for name in shard.segments
    }
    shard.loaded = True
    return True
