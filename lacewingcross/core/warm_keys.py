"""The objects that a server has at hand, as far as a host knows.

Answers this load: a server that has just handled an object needs a third of the time
for it, so a request is best sent where its object was handled before, also by requests
of other hosts.
"""

# Keys remembered for each server, so that memory stays bounded (some 100 bytes each).
# Servers keep fewer themselves; a key that was handled long ago is dropped first.
KEYS_MOST = 512


class Warmth:
    """Keys that one run of a server has handled, as far as this host knows."""

    __slots__ = ("_keys",)

    def __init__(self) -> None:
        # The latest last.
        self._keys: dict[str, None] = {}

    def holds(self, key: str) -> bool:
        """Tell whether the server has handled the key of late."""
        return key in self._keys

    def handled(self, key: str) -> bool:
        """Note that the server handled a key; return whether that is news."""
        news = key not in self._keys
        self._keys.pop(key, None)
        self._keys[key] = None
        if len(self._keys) > KEYS_MOST:
            del self._keys[next(iter(self._keys))]
        return news

    def forget(self, key: str) -> None:
        """Note that the server did not handle a key after all."""
        self._keys.pop(key, None)
