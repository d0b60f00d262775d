"""The copy of the store: revisions never decrease, and gaps are not taken as seen."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lacewingcross.core.replica import Document, Kind, Replica, Update
from lacewingcross.core.store_position import START, StorePosition


def at(revision, era=1):
    return StorePosition(era, revision)


def server(name, revision, spec="here", era=1):
    return Document(Kind.SERVER, name, at(revision, era), spec)


def changes(since, as_of, *documents, era=1):
    positions = (at(since, era), at(as_of, era))
    return Update(Kind.SERVER, *positions, list(documents))


def listing(as_of, *documents, era=1):
    return Update(Kind.SERVER, START, at(as_of, era), list(documents), whole=True)


def listed(replica):
    """Return the revision of era 1 up to which the servers are complete."""
    position = replica.as_of(Kind.SERVER)
    assert position.era == 1 or position == START
    return position.revision


def test_an_older_version_that_arrives_late_is_ignored():
    # A host receives version 9 from one peer, then version 7 from a slower one.
    # Applying version 7 would put an old configuration back in force.
    replica = Replica()
    replica.apply(changes(0, 9, server("a", 9, "new")))
    assert replica.apply(changes(0, 7, server("a", 7, "old"))) == []
    assert [doc.spec for doc in replica.known(Kind.SERVER)] == ["new"]


def test_a_lost_push_is_not_counted_as_seen():
    # The push of revisions 5 to 8 is lost with its stream; the push of 8 to 10 arrives.
    # A host that considered itself complete at 10 would send requests to a server that
    # shut down at 6.
    replica = Replica()
    replica.apply(listing(5, server("a", 3)))
    replica.apply(changes(8, 10, server("b", 10)))
    assert replica.as_of(Kind.SERVER) == at(5)
    replica.apply(changes(5, 10, server("a", 6, None), server("b", 10)))
    assert replica.as_of(Kind.SERVER) == at(10)
    assert [doc.name for doc in replica.known(Kind.SERVER)] == ["b"]


def test_a_listing_shows_deletions_by_absence_only():
    # The store drops its history while a server shuts down, so no event reports the
    # deletion of the server.
    replica = Replica()
    replica.apply(listing(5, server("a", 3), server("b", 4)))
    new_documents = replica.apply(listing(9, server("b", 4)))
    assert [(doc.name, doc.spec) for doc in new_documents] == [("a", None)]


def test_a_listing_does_not_delete_what_was_written_after_it():
    replica = Replica()
    replica.apply(changes(0, 12, server("late", 12)))
    replica.apply(
        listing(
            10,
        )
    )
    assert [doc.name for doc in replica.known(Kind.SERVER)] == ["late"]


def test_a_host_that_never_knew_an_object_deletes_it_at_another_host():
    # Host A knows server "a". The server shuts down, then host B starts and lists the
    # store, which no longer contains "a". B sends A an update. With changes only, A
    # would send requests to "a" forever.
    receiver, sender = Replica(), Replica()
    receiver.apply(listing(1, server("a", 1)))
    sender.apply(listing(2))
    receiver.apply(sender.update_since(Kind.SERVER, receiver.as_of(Kind.SERVER)))
    assert receiver.as_of(Kind.SERVER) == at(2)
    assert receiver.known(Kind.SERVER) == []


def test_a_late_push_does_not_bring_back_an_object_that_a_listing_did_not_show():
    # Server "a" registers at revision 2 and shuts down at 3. A host that has just
    # started lists the store at 3, which does not contain "a"; then an older push of
    # revision 2 arrives from a peer. If the host applied this push, it would send
    # requests to "a" forever.
    replica = Replica()
    replica.apply(listing(3))
    assert replica.apply(changes(0, 2, server("a", 2))) == []
    assert replica.known(Kind.SERVER) == []


def test_a_late_push_does_not_bring_back_what_was_deleted_before_a_listing():
    # The same for a name that is used twice: the host knows the first deletion of "a",
    # missed its second registration and deletion, and then lists the store.
    replica = Replica()
    replica.apply(changes(0, 1, server("a", 1, None)))
    replica.apply(listing(7))
    assert replica.apply(changes(0, 6, server("a", 6))) == []
    assert replica.known(Kind.SERVER) == []


def test_a_lower_revision_of_a_later_era_is_newer():
    # Guards against changes that never take effect after the store was restored.
    replica = Replica()
    replica.apply(listing(50, server("a", 45, "old"), server("lost", 50)))
    replica.apply(listing(20, server("a", 18, "new", 2), era=2))
    assert [(doc.name, doc.spec) for doc in replica.known(Kind.SERVER)] == [
        ("a", "new")
    ]
    assert replica.as_of(Kind.SERVER) == at(20, era=2)


def test_a_late_answer_of_an_earlier_era_changes_nothing():
    # Guards against a listing or push from before a restore that arrives after it.
    replica = Replica()
    replica.apply(listing(20, server("a", 18, "new", 2), era=2))
    assert replica.apply(listing(50, server("a", 45, "old"))) == []
    assert replica.apply(changes(20, 60, server("a", 60, "old"))) == []
    assert replica.apply(changes(20, 60, server("b", 60))) == []
    assert not replica.covers(changes(20, 60))
    assert [doc.spec for doc in replica.known(Kind.SERVER)] == ["new"]
    assert replica.as_of(Kind.SERVER) == at(20, era=2)


def test_changes_of_a_later_era_do_not_hide_what_the_store_lost():
    # Guards against a lost object that stays: the revision has passed the old one when
    # the host watches again, so the watch reports changes and no loss.
    replica = Replica()
    replica.apply(listing(10, server("lost", 10)))
    across = Update(Kind.SERVER, at(10), at(12, 2), [server("b", 12, era=2)])
    replica.apply(across)
    replica.apply(changes(10, 12, server("b", 12, era=2), era=2))
    assert replica.as_of(Kind.SERVER) == at(10)
    assert replica.update_since(Kind.SERVER, START).as_of == at(10)
    replica.apply(listing(12, server("b", 12, era=2), era=2))
    assert [doc.name for doc in replica.known(Kind.SERVER)] == ["b"]


def test_objects_that_a_restore_did_not_change_are_not_reported_as_new():
    # Guards against servers that start cold again, and versions decoded again, when the
    # store is restored.
    replica = Replica()
    replica.apply(listing(50, server("a", 45), server("b", 46)))
    restored = listing(
        40, server("a", 30, era=2), server("b", 31, "other", era=2), era=2
    )
    assert [doc.name for doc in replica.apply(restored)] == ["b"]


class TwoHosts(RuleBasedStateMachine):
    """A store's history that reaches two replicas in pieces, some of which are lost."""

    def __init__(self):
        super().__init__()
        self.history = [{}]
        self.replicas = [Replica(), Replica()]

    @property
    def revision(self):
        return len(self.history) - 1

    @rule(name=st.sampled_from("abc"), exists=st.booleans())
    def change(self, name, exists):
        state = dict(self.history[-1])
        state[name] = (self.revision + 1, "here" if exists else None)
        self.history.append(state)

    def _changes(self, since, as_of):
        state = self.history[as_of]
        return [
            server(name, revision, spec)
            for name, (revision, spec) in state.items()
            if revision > since
        ]

    @precondition(lambda self: self.revision > 0)
    @rule(target_index=st.integers(0, 1), data=st.data())
    def push(self, target_index, data):
        since = data.draw(st.integers(0, self.revision))
        as_of = data.draw(st.integers(since, self.revision))
        self.replicas[target_index].apply(
            changes(since, as_of, *self._changes(since, as_of))
        )

    @precondition(lambda self: self.revision > 0)
    @rule(target_index=st.integers(0, 1), data=st.data())
    def read_all(self, target_index, data):
        as_of = data.draw(st.integers(1, self.revision))
        listed = [doc for doc in self._changes(0, as_of) if doc.spec is not None]
        self.replicas[target_index].apply(listing(as_of, *listed))

    @rule(sender=st.integers(0, 1))
    def pull(self, sender):
        source, target = self.replicas[sender], self.replicas[1 - sender]
        revision_known, as_of = target.as_of(Kind.SERVER), source.as_of(Kind.SERVER)
        if as_of > revision_known:
            target.apply(source.update_since(Kind.SERVER, revision_known))

    @invariant()
    def complete_up_to_its_revision(self):
        for replica in self.replicas:
            truth = self.history[listed(replica)]
            known = {
                doc.name: doc.position.revision for doc in replica.known(Kind.SERVER)
            }
            for name, (revision, spec) in truth.items():
                if spec is not None:
                    latest = self.history[-1][name]
                    assert known.get(name, revision + 1) >= revision
                    if latest[0] == revision:
                        assert known.get(name) == revision
                else:
                    assert known.get(name, revision + 1) > revision


TestTwoHosts = TwoHosts.TestCase
TestTwoHosts.settings = settings(
    max_examples=600, stateful_step_count=25, deadline=None, derandomize=True
)
