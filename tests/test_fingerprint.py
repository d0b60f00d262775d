"""Two requests have the same fingerprint if they would be the same work for a server.

Of a body, only the first `MAX_BODY_BYTES` bytes count.
"""

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


def test_text_cannot_move_from_one_field_to_the_next():
    one = identity(host="a.example", target="/x")
    other = identity(host="a.example/", target="x")
    assert fingerprint(one, []) != fingerprint(other, [])


@given(st.binary(max_size=60), st.lists(st.integers(0, 60), max_size=5))
def test_the_chunks_in_which_a_body_arrives_do_not_matter(body, cuts):
    edges = [0, *sorted(min(cut, len(body)) for cut in cuts), len(body)]
    chunks = [body[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    assert fingerprint(identity(), chunks) == fingerprint(identity(), [body])


def test_only_the_beginning_of_a_large_body_counts():
    body = bytes(MAX_BODY_BYTES)
    whole = fingerprint(identity(), [body])
    assert fingerprint(identity(), [body + b"x"]) == whole
    assert fingerprint(identity(), [body[:-1], b"\0x"]) == whole
    assert fingerprint(identity(), [body[:-1], b"x"]) != whole
