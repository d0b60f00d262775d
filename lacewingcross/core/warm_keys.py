"""The objects that a server has handled recently, as far as a host knows.

Designed for servers that need a third of the time for an object that they have just
handled. Such a server is warm for the object. A request for the object is best sent to
that server, also if the earlier request came from another host. A key is the name of an
object.
"""

# Upper limit of the number of keys kept for each server, which bounds memory (some 100
# bytes for each key). Servers keep fewer objects themselves. The key handled longest
# ago is dropped first.
MAX_KEYS = 512


class WarmKeys:
    """Keys that one run of a server has handled recently, as far as this host knows."""

    __slots__ = ("_keys",)

    def __init__(self) -> None:
        # Ordered by last use, the most recent last.
        self._keys: dict[str, None] = {}

    def holds(self, key: str) -> bool:
        """Return whether the server has handled the key recently."""
        return key in self._keys

    def handled(self, key: str) -> bool:
        """Record that the server handled a key; return whether the key is new."""
        is_new = key not in self._keys
        self._keys.pop(key, None)
        self._keys[key] = None
        if len(self._keys) > MAX_KEYS:
            del self._keys[next(iter(self._keys))]
        return is_new

    def forget(self, key: str) -> None:
        """Remove a key that the server did not handle after all."""
        self._keys.pop(key, None)
