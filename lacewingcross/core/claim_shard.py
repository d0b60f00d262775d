"""The claims of one shard of idempotency keys, in memory and as they are stored."""

from dataclasses import dataclass, field

from .events import StoredSpec
from .store_position import StorePosition

HEAD = "head"
KIND_PREFIX = "Claims"


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


def read_objects(shard: Shard, objects: list[StoredSpec], now: float) -> bool:
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
