"""Two requests have one fingerprint exactly when a server would do the same work."""

from hypothesis import given
from hypothesis import strategies as st

from lacewingcross.core.fingerprint import MAX_BODY_BYTES, RequestIdentity, fingerprint


def identity(method="POST", host="a.example", target="/x", credentials="", length=5):
    return RequestIdentity(method, host, target, credentials, length)


def test_each_field_tells_requests_apart():
    different = [
        identity(),
        identity(method="PUT"),
        identity(host="b.example"),
        identity(target="/y"),
        identity(credentials="Bearer k"),
        identity(length=6),
    ]
    found = {fingerprint(item, [b"hello"]) for item in different}
    found.add(fingerprint(identity(), [b"world"]))
    assert len(found) == len(different) + 1


def test_what_ends_a_field_does_not_begin_the_next():
    one = identity(host="a.example", target="/x")
    other = identity(host="a.example/", target="x")
    assert fingerprint(one, []) != fingerprint(other, [])


@given(st.binary(max_size=60), st.lists(st.integers(0, 60), max_size=5))
def test_the_parts_in_which_a_body_arrives_do_not_matter(body, cuts):
    edges = [0, *sorted(min(cut, len(body)) for cut in cuts), len(body)]
    parts = [body[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    assert fingerprint(identity(), parts) == fingerprint(identity(), [body])


def test_of_a_large_body_the_beginning_counts_however_it_is_cut():
    body = bytes(MAX_BODY_BYTES)
    whole = fingerprint(identity(), [body])
    assert fingerprint(identity(), [body + b"x"]) == whole
    assert fingerprint(identity(), [body[:-1], b"\0x"]) == whole
    assert fingerprint(identity(), [body[:-1], b"x"]) != whole
