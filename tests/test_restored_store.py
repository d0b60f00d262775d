"""Hosts follow a store through any series of changes, losses and restores."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from lacewingcross.core.replica import Kind
from lacewingcross.core.restored_entries import PROVEN_ALIVE_S

from .restored_store_model import (
    KINDS,
    ModelHost,
    ModelStore,
    config_spec,
    server_spec,
)

HOSTS = 3
SERVERS = ("s1", "s2", "s3")
DOMAINS = ("a1", "b1")
host_indexes = st.integers(0, HOSTS - 1)


class RestoredStore(RuleBasedStateMachine):
    """A store, its writers and three hosts; answers and pushes are late or lost."""

    states_era = True

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.store = ModelStore(states_era=self.states_era)
        self.hosts = [ModelHost() for _ in range(HOSTS)]
        self.backups = []
        # Answers and pushes that have not arrived yet: receiver and update.
        self.late = []
        self.version = 1
        # What the servers and the operator want; written again after a restore.
        self.server_states = {}
        self.evacuated = set()
        self.write_again()

    def write_again(self):
        """Write what the operator and the servers last wrote."""
        self.store.write(Kind.CONFIG, "main", config_spec(self.version))
        for name in SERVERS:
            state = self.server_states.get(name, "gone")
            spec = None if state == "gone" else server_spec(draining=state == "leaving")
            self.store.write(Kind.SERVER, name, spec)
        for domain in DOMAINS:
            spec = {} if domain in self.evacuated else None
            self.store.write(Kind.EVACUATION, domain, spec)

    @rule()
    def a_version_is_written(self):
        self.version += 1
        self.write_again()

    @rule(name=st.sampled_from(SERVERS))
    def a_server_moves_on(self, name):
        following = {"gone": "gone", "ready": "leaving", "leaving": "gone"}
        self.server_states[name] = following[self.server_states.get(name, "gone")]
        self.write_again()

    @rule(name=st.sampled_from(SERVERS))
    def a_server_starts(self, name):
        # An id is that of one run, so a server that has left does not start again.
        self.server_states.setdefault(name, "ready")
        self.write_again()

    @rule(domain=st.sampled_from(DOMAINS))
    def an_evacuation_begins_or_ends(self, domain):
        self.evacuated ^= {domain}
        self.write_again()

    @rule()
    def the_store_is_copied(self):
        self.backups.append(self.store.backup())

    @precondition(lambda self: self.backups)
    @rule(data=st.data(), again=st.booleans())
    def the_store_is_restored(self, data, again):
        self.store.restore(data.draw(st.sampled_from(self.backups)))
        if again:
            self.write_again()

    @rule()
    def the_store_is_compacted(self):
        self.store.compact()

    @rule(seconds=st.sampled_from([0.1, 1.0, 3.0, 6.0]))
    def time_passes(self, seconds):
        self.now += seconds
        for host in self.hosts:
            host.steering.tick(self.now)

    @rule(index=host_indexes, kind=st.sampled_from(KINDS), data=st.data())
    def a_host_reads(self, index, kind, data):
        self._deliver(index, self.hosts[index].ask_store(self.store, kind), data)

    def _deliver(self, index, update, data):
        """Deliver an answer now or later, and push it to the others or not."""
        if data.draw(st.booleans()):
            self.late.append((index, update))
        else:
            self.hosts[index].take(update, self.now)
        for other in range(HOSTS):
            arrival = data.draw(st.sampled_from(["now", "late", "lost"]))
            if other != index and arrival == "now":
                self.hosts[other].take(update, self.now)
            elif other != index and arrival == "late":
                self.late.append((other, update))

    @precondition(lambda self: self.late)
    @rule(data=st.data())
    def a_late_update_arrives(self, data):
        index = data.draw(st.integers(0, len(self.late) - 1))
        receiver, update = self.late.pop(index)
        self.hosts[receiver].take(update, self.now)

    @rule(receiver=host_indexes, sender=host_indexes)
    def a_host_asks_a_peer(self, receiver, sender):
        self.hosts[receiver].pull_from(self.hosts[sender], self.now)

    @rule(index=host_indexes)
    def a_host_restarts(self, index):
        self.hosts[index] = ModelHost()

    @invariant()
    def no_host_goes_back_to_an_older_version(self):
        for host in self.hosts:
            assert host.steering.config_version == host.highest_version

    @invariant()
    def no_host_sends_to_a_server_that_it_saw_leaving(self):
        for host in self.hosts:
            assert not host.sendable(self.now) & host.seen_draining

    def teardown(self):
        """Check that hosts in touch with the store end with what it has."""
        self.write_again()
        self._all_hosts_read()
        self.now += PROVEN_ALIVE_S
        for host in self.hosts:
            host.steering.tick(self.now)
        ready = {n for n, state in self.server_states.items() if state == "ready"}
        for host in self.hosts:
            assert host.steering.config_version == self.version
            assert host.sendable(self.now) == ready
            evacuated = host.steering.placement.eligibility.evacuated
            assert evacuated == self.evacuated
            for kind in KINDS:
                known = host.steering.replica.known(kind)
                assert {d.name: d.spec for d in known} == self.store.specs(kind)

    def _all_hosts_read(self):
        for host in self.hosts:
            for kind in KINDS:
                # A first answer may tell only that the store was restored.
                host.take(host.ask_store(self.store, kind), self.now)
                host.take(host.ask_store(self.store, kind), self.now)


RestoredStore.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
TestRestoredStore = RestoredStore.TestCase


class StoreWithoutEras(RestoredStore):
    """The same with a store that hides that it was restored."""

    states_era = False


def test_the_machine_fails_without_the_era():
    # Guards against a machine that would not notice hosts which ignore the era.
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            StoreWithoutEras,
            settings=settings(
                max_examples=300,
                stateful_step_count=40,
                deadline=None,
                report_multiple_bugs=False,
            ),
        )
