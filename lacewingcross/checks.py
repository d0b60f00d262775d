"""Typed access to JSON objects, with errors that name the field and the expectation."""

import ipaddress
from collections.abc import Iterator

from .errors import UserError

REQUIRED = object()
MAX_PORT = 65535
MAX_PORT_DIGITS = 5
MAX_LABEL_CHARS = 253


class Reader:
    """Read and check the fields of one JSON object one by one.

    Parameters
    ----------
    data : object
        Decoded JSON; anything but an object is rejected with `error`.
    where : str
        Location of the object for error messages, such as ``host.json: peers[2]``.
    error : type of UserError
        Raised when a field is missing, of the wrong type or unknown.

    Notes
    -----
    The methods that read a field return `default` when the object lacks the field;
    without a `default`, the field is required. `boolean`, `addresses`, `child` and
    `children` check the default like a value; the other methods do not.
    """

    __slots__ = ("_data", "_error", "_read_fields", "where")

    def __init__(self, data: object, where: str, error: type[UserError]) -> None:
        self.where = where
        self._error = error
        if not isinstance(data, dict):
            raise self.fail("", "an object", data)
        self._data = data
        self._read_fields: set[str] = set()

    def fail(self, field: str, expected: str, got: object) -> UserError:
        """Return an error that says what was expected in `field`."""
        path = f"{self.where}.{field}" if field else self.where
        shown = "nothing" if got is REQUIRED else repr(got)[:80]
        return self._error("bad-field", f"{path}: expected {expected}, got {shown}")

    def raw(self, field: str, default: object = REQUIRED) -> object:
        """Return a field unchecked; the calling code validates it."""
        self._read_fields.add(field)
        return self._data.get(field, default)

    def text(
        self, field: str, default: object = REQUIRED, choices: tuple[str, ...] = ()
    ) -> str:
        """Return a non-empty string, one of `choices` when these are given."""
        value = self.raw(field, default)
        if value is default and default is not REQUIRED:
            return value
        if not isinstance(value, str) or not value:
            raise self.fail(field, "a non-empty string", value)
        if choices and value not in choices:
            raise self.fail(field, "one of " + ", ".join(choices), value)
        return value

    def name(self, field: str, default: object = REQUIRED) -> str:
        """Return a string that `is_name` accepts."""
        value = self.text(field, default)
        if value is not default and not is_name(value):
            raise self.fail(field, "a name of letters, digits, '.', '_', '-'", value)
        return value

    def number(
        self,
        field: str,
        default: object = REQUIRED,
        low: float = 0.0,
        high: float = 1e12,
    ) -> float:
        """Return a number between `low` and `high`, both included."""
        value = self.raw(field, default)
        if value is default and default is not REQUIRED:
            return value
        valid = isinstance(value, int | float) and not isinstance(value, bool)
        if not valid or not low <= value <= high:
            raise self.fail(field, f"a number from {low:g} to {high:g}", value)
        return float(value)

    def integer(
        self, field: str, default: object = REQUIRED, low: int = 0, high: int = 10**9
    ) -> int:
        """Return a whole number between `low` and `high`, both included."""
        value = self.raw(field, default)
        if value is default and default is not REQUIRED:
            return value
        valid = isinstance(value, int) and not isinstance(value, bool)
        if not valid or not low <= value <= high:
            raise self.fail(field, f"a whole number from {low} to {high}", value)
        return value

    def boolean(self, field: str, default: object = REQUIRED) -> bool:
        """Return a boolean."""
        value = self.raw(field, default)
        if not isinstance(value, bool):
            raise self.fail(field, "true or false", value)
        return value

    def address(self, field: str, default: object = REQUIRED) -> str:
        """Return an ``ip:port`` string unchanged."""
        value = self.text(field, default)
        if value is not default and not is_address(value):
            raise self.fail(field, "an address like 127.0.0.1:8080", value)
        return value

    def addresses(self, field: str, default: object = REQUIRED) -> list[str]:
        """Return a list of ``ip:port`` strings."""
        value = self.raw(field, default)
        valid = isinstance(value, list) and all(
            isinstance(item, str) and is_address(item) for item in value
        )
        if not valid:
            raise self.fail(field, "a list of addresses like 127.0.0.1:8080", value)
        return list(value)

    def names(self, field: str, default: object = REQUIRED) -> list[str]:
        """Return a list of strings that `is_name` accepts."""
        value = self.raw(field, default)
        if value is default and default is not REQUIRED:
            return list(value)
        if not isinstance(value, list) or not all(is_name(item) for item in value):
            raise self.fail(field, "a list of names", value)
        return list(value)

    def weights(
        self, field: str, default: object = REQUIRED, low: float = 0.0
    ) -> dict[str, float]:
        """Return an object that maps any keys to numbers of at least `low`."""
        value = self.raw(field, default)
        if value is default and default is not REQUIRED:
            return dict(value)
        if not isinstance(value, dict):
            raise self.fail(field, "an object of name: number", value)
        inner = Reader(value, f"{self.where}.{field}", self._error)
        return {key: inner.number(key, low=low) for key in value}

    def child(self, field: str, default: object = REQUIRED) -> "Reader":
        """Return a reader of the object in `field`."""
        value = self.raw(field, default)
        return Reader(value, f"{self.where}.{field}", self._error)

    def children(self, field: str, default: object = REQUIRED) -> Iterator["Reader"]:
        """Yield a reader for each object of the list in `field`."""
        value = self.raw(field, default)
        if not isinstance(value, list):
            raise self.fail(field, "a list of objects", value)
        for index, item in enumerate(value):
            yield Reader(item, f"{self.where}.{field}[{index}]", self._error)

    def has(self, field: str) -> bool:
        """Return whether the object contains `field`; does not count as reading it."""
        return field in self._data

    def finish(self) -> None:
        """Raise an error when the object contains a field that was not read."""
        unknown = sorted(str(key) for key in self._data if key not in self._read_fields)
        if unknown:
            known = ", ".join(sorted(self._read_fields))
            raise self._error(
                "unknown-field",
                f"{self.where}: unknown field {unknown[0]!r}; known fields: {known}",
            )


def is_name(value: object) -> bool:
    """Return whether `value` is a valid name.

    A name has 1 to 120 ASCII letters, digits, ``.``, ``_`` or ``-`` and does not start
    with a ``.``.
    """
    if not isinstance(value, str) or not 0 < len(value) <= 120:
        return False
    if value.startswith("."):
        return False
    return value.isascii() and all(char.isalnum() or char in "._-" for char in value)


def is_address(value: str) -> bool:
    """Return whether `value` is an IP address, a colon and a port number."""
    host, _, port = value.rpartition(":")
    if "%" in host:
        # A zone id belongs to one machine, and any text is accepted for one.
        return False
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    return is_number and int(port) <= MAX_PORT


def is_remote_address(value: str) -> bool:
    """Return whether `value` is an address to which a connection can be opened."""
    return is_address(value) and split_address(value)[1] > 0


def is_label(value: object) -> bool:
    """Return whether `value` is a name that another program may have chosen.

    A label has 1 to `MAX_LABEL_CHARS` printable characters, and no space at its ends.
    So it is safe in logs, metrics and messages.
    """
    return (
        isinstance(value, str)
        and 0 < len(value) <= MAX_LABEL_CHARS
        and value.isprintable()
        and value == value.strip()
    )


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and port of a validated ``ip:port`` string."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
