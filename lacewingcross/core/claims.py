"""Claims of idempotency keys: stored in the platform, written in batches.

A claim gives one request the right to run with its key. The claims of a service are
divided into shards. The platform is the object store that all hosts share.
"""

from collections.abc import Iterator

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
from .claim_shard import HEAD, Batch, PendingClaim, Shard, read_objects
from .events import ObjectsLoaded, WriteEnded
from .rendezvous import hash64
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
# Call ids of plans and reports start at other bases, so that all ids differ.
CALL_ID_BASE = 1 << 45

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
        if event.objects is None or not read_objects(shard, event.objects, now):
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
