"""Names and values of the HTTP headers that carry request and response metadata."""

REQUEST_ID = b"x-request-id"
DEADLINE_MS = b"x-deadline-ms"
CALLER_ID = b"x-caller-id"
CLIENT_ADDRESS = b"x-client-address"
SERVICE = b"x-service"
IDEMPOTENCY_KEY = b"idempotency-key"
REPEATABLE = b"x-repeatable"
OUTCOME = b"x-outcome"
REASON = b"x-reason"
RETRY_AFTER = b"retry-after"
RETRY_AFTER_MS = b"x-retry-after-ms"
LOAD = b"x-load"
AUTHORIZATION = b"authorization"
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
        b"expect",
    )
)

HeaderList = list[tuple[bytes, bytes]]


def find(headers: HeaderList, name: bytes) -> str:
    """Return the first value of `name`, or an empty string."""
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return ""


def milliseconds(headers: HeaderList, name: bytes) -> float | None:
    """Return the value of a header in milliseconds, converted to seconds.

    Return None when the header is absent or empty.

    Raises
    ------
    ValueError
        When the header is present and not empty, but is not a positive whole number of
        at most 10 digits.
    """
    text = find(headers, name)
    if not text:
        return None
    if not (text.isascii() and text.isdigit()) or len(text) > 10 or int(text) == 0:
        raise ValueError(f"{name.decode()}: expected whole milliseconds above 0")
    return int(text) / 1000.0


def without_hop_by_hop(headers: HeaderList) -> HeaderList:
    """Return the end-to-end headers, which a proxy passes on.

    Left out are the `HOP_BY_HOP` headers and all headers that the first ``Connection``
    header names.
    """
    named = find(headers, b"connection").lower().encode("latin-1")
    listed = {part.strip() for part in named.split(b",")}
    return [
        (key, value)
        for key, value in headers
        if key not in HOP_BY_HOP and key not in listed
    ]


def retry_after(seconds: float) -> HeaderList:
    """Return the headers that say when to retry; none when `seconds` is not positive.

    ``Retry-After`` has whole seconds only, rounded up. `RETRY_AFTER_MS` has whole
    milliseconds, rounded down; it keeps the jitter that prevents refused callers from
    retrying all at the same moment.
    """
    if seconds <= 0:
        return []
    whole = max(1, int(-(-seconds // 1)))
    return [
        (RETRY_AFTER, str(whole).encode()),
        (RETRY_AFTER_MS, str(int(seconds * 1000)).encode()),
    ]
