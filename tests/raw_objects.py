"""Raw texts of stored objects, parts of which hold any value."""

import copy
import functools
import json

from hypothesis import strategies as st

DEEP = 2000
ODD_VALUES = [
    b"null",
    b"true",
    b"-1",
    b"0",
    b"1e999",
    b"Infinity",
    b"NaN",
    b"1" + b"0" * 400,
    b"9" * 5000,
    b"-" + b"9" * 5000,
    b"1.5",
    b'""',
    b'"x"',
    b'"\\ud800"',
    b'"\xff\xfe\xfd"',
    b'"\xff\xfe\xfd:8080"',
    b'"10.0.0.9:99999"',
    b'"10.0.0.9:0"',
    b'"10.0.0.9:' + b"9" * 5000 + b'"',
    b'"name.example:80"',
    b'"a\x00b"',
    b'"a\\u0000b\\r\\nX: y"',
    b'"' + b"x" * 70000 + b'"',
    b"[" * DEEP + b"]" * DEEP,
    b'{"a":' * DEEP + b"1" + b"}" * DEEP,
    b"[" * 900 + b"]" * 900,
    b"[]",
    b"{}",
    b"[1,2]",
    b'{"a":1,"a":2}',
]
TEXT_BYTES = st.binary(max_size=20).map(
    lambda data: b'"' + data.replace(b"\\", b"").replace(b'"', b"") + b'"'
)
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(alphabet=st.characters(exclude_categories=())),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
).map(lambda value: json.dumps(value).encode())
VALUES = st.sampled_from(ODD_VALUES) | TEXT_BYTES | JSON_VALUES


def item(name, revision, spec):
    """Return the raw text of an object; `name` and `spec` are raw texts too."""
    return (
        b'{"metadata":{"name":%b,"revision":%b,"create_revision":1,"finalizers":[],'
        b'"deleting":false},"spec":%b,"status":null}'
    ) % (name, revision, spec)


def raw_object(fields):
    """Return the raw text of a JSON object from the raw texts of its members."""
    members = (json.dumps(key).encode() + b":" + raw for key, raw in fields.items())
    return b"{" + b",".join(members) + b"}"


def page(items, as_of=50):
    """Return the body of a listing of one page."""
    return b'{"items":[%b],"has_more":false,"as_of":%d}' % (b",".join(items), as_of)


def changes(items, as_of=50):
    """Return the body of the response to a watch."""
    events = (b'{"object":%b,"deleted":false}' % raw for raw in items)
    return b'{"events":[%b],"as_of":%d}' % (b",".join(events), as_of)


def odd_object(draw, spec):
    """Draw the raw text of an object, one part of which holds any value."""
    raw = {key: json.dumps(value).encode() for key, value in spec.items()}
    where = draw(st.sampled_from([*raw, "spec", "name", "revision", "metadata", "all"]))
    value = draw(VALUES)
    if where == "all":
        return value
    if where == "metadata":
        return b'{"metadata":%b,"spec":%b}' % (value, raw_object(raw))
    if where in raw:
        raw[where] = value
    name = value if where == "name" else b'"i-odd"'
    revision = value if where == "revision" else b"13"
    return item(name, revision, value if where == "spec" else raw_object(raw))


def odd_configuration(draw, spec):
    """Draw the raw text of a configuration with any value at any place in it."""
    place = draw(
        st.sampled_from(
            [
                ("version",),
                ("limits",),
                *(("limits", field) for field in spec["limits"]),
                ("services", "calendar"),
                *(("services", "calendar", f) for f in spec["services"]["calendar"]),
                ("routes", "safe"),
                *(("routes", "safe", field) for field in spec["routes"]["safe"]),
                ("routes", "safe", "traffic_split"),
            ]
        )
    )
    mark = "<any value>"
    changed = copy.deepcopy(spec)
    *path, last = place
    inner = functools.reduce(lambda found, key: found[key], path, changed)
    inner[last] = mark
    raw = json.dumps(changed).encode().replace(json.dumps(mark).encode(), draw(VALUES))
    return item(b'"main"', b"13", raw)
