"""Copy of the store at one entry host, and the routing state derived from it."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from ..errors import UserError
from .backend_state import ServerEntry
from .crashes import CrashLedger
from .placement.placement import Placement
from .randomness import RandomSource
from .replica import Document, Kind, Replica, Update
from .restored_entries import RestoredEntries
from .retry_budgets import RetryAllowance, RetryBudgets
from .routes import CallerLimits, Configuration, Route, RouteTable
from .splits import Splitter
from .store_position import START
from .terms import ranks_of

# Kinds of objects that operators and servers write, and hosts do not. The age of a
# host's copy of the store is that of the oldest of these kinds.
OPERATORS_KINDS = (Kind.CONFIG, Kind.EVACUATION, Kind.SERVER)
# What a host needs from the store before it serves, as logs name it.
NEEDED = ("config", "servers", "quarantines")
# After a store outage, servers whose entries expired register again within two seconds.
# The rest of this time, in seconds, covers the delay of the update.
LAPSE_GRACE_S = 2.2
# How long an evacuation that a restored store lacks stays in force, in seconds, while
# the operator has not written it again.
EVACUATION_GRACE_S = 5.0
# Silence of the store, in seconds, that counts as an outage in which server entries may
# have expired. It is half of the time after which the store drops a silent server, and
# longer than any host waits before it queries the store itself
# (`MAX_SILENCE_TIMEOUT_S`).
OUTAGE_S = 2.3


@dataclass(slots=True, frozen=True)
class Rejected:
    """A stored object that could not be decoded, and the reason."""

    document: Document
    code: str
    why: str


class Decoder(Protocol):
    """Decodes stored objects into the core's types; raises an error with a code."""

    def configuration(self, spec: object) -> Configuration:
        """Return the configuration in an object."""
        ...

    def server(self, name: str, spec: object) -> ServerEntry:
        """Return the server entry in an object."""
        ...

    def quarantine(self, name: str, spec: object) -> tuple[str, ...]:
        """Return the servers that crashed while they ran a quarantined request."""
        ...


class Steering:
    """The replica of the store and everything derived from it.

    Parameters
    ----------
    placement : Placement
        Backend servers.
    decoder : Decoder
        Reads stored objects.
    rng : RandomSource
        Source of the split positions of requests without a key.
    retry_allowance : RetryAllowance
        The retries that all hosts share, see `RetryBudgets`.

    Attributes
    ----------
    host_count : int
        Number of hosts that share the limits on connections to servers.
    restored_entries : RestoredEntries
        Server entries of a restored store that are not used yet.
    retry_budgets : RetryBudgets
        This host's budgets of retries.
    rejected : list of Rejected
        Stored objects that could not be decoded.
    outdated_quarantines : list of str
        Requests whose stored quarantine was not taken: they are cleared of its crashes.
    table : RouteTable or None
        Routes of the configuration in force; None before the first configuration.
    config_spec : object
        Decoded JSON of the configuration in force.
    """

    __slots__ = (
        "_confirmed_at",
        "_decoder",
        "_kept_evacuations",
        "_kept_until",
        "_least_urgent",
        "_outage_ended_at",
        "_splitters",
        "config_spec",
        "crashes",
        "host_count",
        "outdated_quarantines",
        "placement",
        "rejected",
        "replica",
        "restored_entries",
        "retry_budgets",
        "rng",
        "table",
    )

    def __init__(
        self,
        placement: Placement,
        decoder: Decoder,
        rng: RandomSource,
        retry_allowance: RetryAllowance,
    ) -> None:
        self.placement = placement
        self.replica = Replica()
        self.crashes = CrashLedger()
        self.rng = rng
        self.table: RouteTable | None = None
        self.config_spec: object = None
        self.host_count = 1
        self._decoder = decoder
        self.retry_budgets = RetryBudgets(retry_allowance, rng)
        self._splitters: dict[str, tuple[Route, Splitter]] = {}
        # When servers whose entries expired in a store outage are dropped, by id.
        self._kept_until: dict[str, float] = {}
        # When evacuations that a restored store lacks end, by failure domain.
        self._kept_evacuations: dict[str, float] = {}
        # Rank of the least urgent requests, by service.
        self._least_urgent: dict[str, int] = {}
        # When the store last confirmed the copy of a kind of objects.
        self._confirmed_at: dict[Kind, float] = {}
        self._outage_ended_at = float("-inf")
        self.restored_entries = RestoredEntries()
        self.rejected: list[Rejected] = []
        self.outdated_quarantines: list[str] = []

    def take(self, update: Update, now: float, *, fresh: bool = True) -> list[Document]:
        """Apply an update from the store or another host; return the changed documents.

        Parameters
        ----------
        update : Update
            Documents to apply.
        now : float
            Monotonic time in seconds.
        fresh : bool
            Whether the update comes from the store right now. The copy of another host
            may be old.
        """
        restored = self.replica.restored_by(update)
        before = self.replica.documents(update.kind) if restored else {}
        changed = self.replica.apply(update)
        if fresh and self.replica.covers(update):
            self._confirm(update.kind, now)
        if update.kind is Kind.EVACUATION:
            self._review_kept_evacuations(changed, now, restored=restored)
        used = changed
        if restored:
            used = self._used_after_restore(update.kind, changed, before, now)
        self._apply(used, now)
        return changed

    def _used_after_restore(
        self,
        kind: Kind,
        changed: list[Document],
        before: dict[str, Document],
        now: float,
    ) -> list[Document]:
        """Return the changes of a restore that this host follows.

        `before` are the documents of the kind that it knew until then, by name.
        """
        if kind is Kind.SERVER:
            self._restart_waits(now)
            return list(self._without_gone(changed, before, now))
        if kind is Kind.QUARANTINE:
            return list(self._without_lost(changed, now))
        return changed

    def _without_lost(self, changed: list[Document], now: float) -> Iterator[Document]:
        """Yield the quarantines that a restored store has.

        Hosts write quarantines themselves, so what they know is newer than the copy of
        the store: a quarantine that it lacks is kept and written again.
        """
        for doc in changed:
            if doc.spec is None:
                self.crashes.lost_by_store(doc.name, now)
            else:
                yield doc

    def _review_kept_evacuations(
        self, changed: list[Document], now: float, *, restored: bool
    ) -> None:
        """Keep the evacuations that a restored store lacks for a while.

        Guards against requests to a failure domain whose evacuation was acknowledged
        before the store was restored: the operator has yet to write it again.
        """
        for doc in changed:
            if restored and doc.spec is None:
                self._kept_evacuations[doc.name] = now + EVACUATION_GRACE_S
            else:
                self._kept_evacuations.pop(doc.name, None)

    def _restart_waits(self, now: float) -> None:
        """Let servers register again, as after an outage of the store."""
        self._outage_ended_at = now
        for name in self._kept_until:
            self._kept_until[name] = now + LAPSE_GRACE_S
        self.restored_entries.restart(now)

    def _without_gone(
        self, changed: list[Document], before: dict[str, Document], now: float
    ) -> Iterator[Document]:
        """Yield the changes of a restore, except entries of servers that had left.

        A server that was draining stays so for good, see `Departures`. One that was
        gone is withheld, see `RestoredEntries`.
        """
        known = self.placement.known.servers
        for doc in changed:
            server = known.get(doc.name)
            if server is not None and server.entry.draining:
                self.placement.gate.departures.observe(server.entry.incarnation)
            was_gone = doc.name in before and before[doc.name].spec is None
            if doc.spec is not None and was_gone and server is None:
                self.restored_entries.withhold(doc, now)
            else:
                yield doc

    def store_age(self, now: float) -> float:
        """Return the age of the copy of the store, in seconds.

        It is the age of the kind of objects that the store confirmed longest ago, and
        infinite until the store has confirmed each of `OPERATORS_KINDS`.
        """
        times = [
            self._confirmed_at.get(kind, float("-inf")) for kind in OPERATORS_KINDS
        ]
        return now - min(times)

    def _confirm(self, kind: Kind, now: float) -> None:
        last = self._confirmed_at.get(kind, now)
        if kind is Kind.SERVER and now - last > OUTAGE_S:
            self._outage_ended_at = now
        self._confirmed_at[kind] = now

    def _apply(self, changed: list[Document], now: float) -> None:
        for doc in changed:
            try:
                self._apply_one(doc, now)
            except UserError as exc:
                # One object that cannot be decoded must not keep other objects from
                # taking effect. The configuration in force stays. A server whose entry
                # cannot be decoded is dropped, since its address is unknown.
                self.rejected.append(Rejected(doc, exc.code, exc.message))
                if doc.kind is Kind.SERVER:
                    self._kept_until.pop(doc.name, None)
                    self.placement.known.drop(doc.name)
        if any(doc.kind is Kind.EVACUATION for doc in changed):
            self._set_evacuated(now)

    def _set_evacuated(self, now: float) -> None:
        domains = {doc.name for doc in self.replica.known(Kind.EVACUATION)}
        domains.update(self._kept_evacuations)
        servers = self.placement.known.servers.values()
        self.placement.eligibility.set_evacuated(domains, servers, now)

    def _apply_one(self, doc: Document, now: float) -> None:
        if doc.kind is Kind.CONFIG and doc.spec is not None:
            self.take_configuration(doc.spec)
        elif doc.kind is Kind.SERVER:
            self._take_server(doc, now)
        elif doc.kind is Kind.QUARANTINE:
            self._take_quarantine(doc, now)

    def _take_quarantine(self, doc: Document, now: float) -> None:
        if doc.spec is None:
            self.crashes.stored_quarantine_deleted(doc.name)
            return
        # If the object cannot be decoded, nothing is known of what the store holds.
        self.crashes.forget_stored(doc.name)
        servers = self._decoder.quarantine(doc.name, doc.spec)
        if not self.crashes.add_stored_quarantine(doc.name, servers, now):
            self.outdated_quarantines.append(doc.name)

    @property
    def config_version(self) -> int:
        """Return the version of the configuration in force, 0 before the first."""
        return self.table.config.version if self.table else 0

    def take_configuration(self, spec: object) -> bool:
        """Put a configuration in force unless a later version is; return whether.

        Versions order configurations, not positions in the store: a restored store has
        an older version until the operator writes the newer one again.

        Raises
        ------
        UserError
            When the configuration cannot be decoded.
        """
        config = self._decoder.configuration(spec)
        if self.config_version > config.version:
            return False
        self.config_spec = spec
        self.table = RouteTable(config)
        self.placement.eligibility.set_services(config.services)
        self._least_urgent = _least_urgent(config)
        names = {route.name for route in config.routes}
        for name in [name for name in self._splitters if name not in names]:
            del self._splitters[name]
        return True

    def _take_server(self, doc: Document, now: float) -> None:
        self.restored_entries.discard(doc.name)
        if doc.spec is not None:
            self._kept_until.pop(doc.name, None)
            self.placement.known.put(self._decoder.server(doc.name, doc.spec), now)
            return
        release_at = self._outage_ended_at + LAPSE_GRACE_S
        if now < release_at and doc.name in self.placement.known.servers:
            # Guards against an empty list of servers after a store outage: no server
            # can renew its entry while the store is unreachable, so all entries expire
            # together. Dropping the servers when the store returns would leave none to
            # send to. So they are kept until they have had time to register again.
            self._kept_until[doc.name] = release_at
            return
        self.placement.known.drop(doc.name)

    def tick(self, now: float) -> list[str]:
        """Drop the servers that did not register again in time; return their ids.

        Entries of a restored store that have proven to be of live servers are used, and
        evacuations that it lacks and that were not written again end.
        """
        if _remove_ended(self._kept_evacuations, now):
            self._set_evacuated(now)
        self._apply(list(self.restored_entries.take_proven(now)), now)
        expired = _remove_ended(self._kept_until, now)
        for name in expired:
            self.placement.known.drop(name)
        return expired

    def ready(self) -> bool:
        """Return whether configuration, servers and quarantines have been read.

        Guards against requests that crash servers: a host that has just started has
        read the servers, but not yet which requests are quarantined, and would send
        such requests. So the host is not ready until it has read both.
        """
        return not self.unread()

    def unread(self) -> list[str]:
        """Return which of `NEEDED` this host has not read yet, or cannot use."""
        has_read = {
            "config": self.table is not None,
            "servers": self.replica.as_of(Kind.SERVER) > START,
            "quarantines": self.replica.as_of(Kind.QUARANTINE) > START,
        }
        return [name for name in NEEDED if not has_read[name]]

    @property
    def limits(self) -> CallerLimits:
        """Return the limits on what callers may send."""
        return self.table.config.limits if self.table else CallerLimits()

    def service_for(self, route: Route, key: str) -> str:
        """Return the service that a request of `route` goes to.

        `key` is the affinity key, empty for none. A request of a route with several
        services is counted, see `Splitter.pick`.
        """
        if len(route.parts) == 1:
            return route.parts[0].service
        known = self._splitters.get(route.name)
        if known is None or known[0].parts != route.parts:
            known = (route, Splitter(route))
            self._splitters[route.name] = known
        return known[1].pick(key or str(self.rng.uniform(0.0, 1.0)))

    def least_urgent(self, service: str) -> int:
        """Return the rank of the least urgent requests that may go to a service."""
        return self._least_urgent.get(service, 0)


def _remove_ended(ends_at: dict[str, float], now: float) -> list[str]:
    """Remove the names whose time has come; return them."""
    ended = [name for name, until in ends_at.items() if now >= until]
    for name in ended:
        del ends_at[name]
    return ended


def _least_urgent(config: Configuration) -> dict[str, int]:
    """Return the highest rank number that requests to each service may have."""
    ranks: dict[str, int] = {}
    for route in config.routes:
        max_rank = max(ranks_of(route, config.accounts))
        for part in route.parts:
            ranks[part.service] = max(ranks.get(part.service, max_rank), max_rank)
    return ranks
