"""Operators' resources on hosts that learn of a restored store from other hosts."""

from lacewingcross.core.config import Config, Entry
from lacewingcross.core.store_position import StorePosition


def version(era, revision):
    return StorePosition(era, revision).version


def pull(receiver, sender):
    """Merge what a host gets that asks another one for all that it lacks."""
    entries = sender.above(receiver.revision)
    receiver.merge(entries, sender.revision, True)


def test_an_object_that_only_other_hosts_knew_ends_with_the_time_that_was_lost():
    # Guards against hosts that keep an object for good which the restored store never
    # had, since the host that listed the store did not know it either.
    listing, other = Config(), Config()
    listing.merge([Entry("drain/old", version(1, 3), "{}")], version(1, 3), True)
    other.merge([Entry("drain/old", version(1, 3), "{}")], version(1, 3), True)
    other.merge([Entry("drain/lost", version(1, 9), "{}")], version(1, 9), True)
    listing.merge([Entry("drain/old", version(2, 3), "{}")], version(2, 3), True)
    pull(other, listing)
    assert [key for key, entry in other.entries.items() if entry.text] == ["drain/old"]


def test_what_was_written_after_the_restore_stays():
    listing, other = Config(), Config()
    other.merge([Entry("drain/lost", version(1, 9), "{}")], version(1, 9), True)
    other.merge([Entry("drain/new", version(2, 4), "{}")], version(2, 4), False)
    listing.merge([Entry("drain/old", version(2, 3), "{}")], version(2, 3), True)
    pull(other, listing)
    present = {key for key, entry in other.entries.items() if entry.text}
    assert present == {"drain/old", "drain/new"}
