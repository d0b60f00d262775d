"""Client address blocks in packed arrays, to look up an address's client group."""

import sys
from array import array
from base64 import b64decode, b64encode
from bisect import bisect_right
from collections.abc import Iterable, Iterator, Sequence
from ipaddress import IPv4Address, IPv4Network

NO_GROUP = 0xFFFF
_ADDRESS_SPACE_END = 1 << 32


class BlockIndex:
    """Sorted starts of blocks, each with a 16-bit group index (6 bytes a block).

    A block reaches to the start of the next one. Addresses outside of all networks form
    blocks with the index `NO_GROUP`.

    Parameters
    ----------
    networks : iterable of (str, int)
        IPv4 network in CIDR notation and group index. Of nested networks, the more
        specific one determines the group.
    """

    __slots__ = ("_groups", "_starts")

    def __init__(self, networks: Iterable[tuple[str, int]]) -> None:
        spans = []
        for text, group in networks:
            net = IPv4Network(text)
            first = int(net.network_address)
            spans.append((first, first + net.num_addresses, group))
        self._starts = array("I")
        self._groups = array("H")
        self._flatten(sorted(spans, key=lambda span: (span[0], -span[1])))

    def _flatten(self, spans: list[tuple[int, int, int]]) -> None:
        """Append the starts of nested spans, each with the innermost span's group.

        A span is (first address, address after the last, group index); spans are sorted
        with the outer one first.
        """
        open_spans: list[tuple[int, int]] = []
        self._append(0, NO_GROUP)
        for start, end, group in spans:
            self._close_until(start, open_spans)
            self._append(start, group)
            open_spans.append((end, group))
        self._close_until(_ADDRESS_SPACE_END, open_spans)

    def _close_until(self, start: int, open_spans: list[tuple[int, int]]) -> None:
        while open_spans and open_spans[-1][0] <= start:
            end, _ = open_spans.pop()
            group = open_spans[-1][1] if open_spans else NO_GROUP
            if end < _ADDRESS_SPACE_END:
                self._append(end, group)

    def _append(self, start: int, group: int) -> None:
        if self._starts and self._starts[-1] == start:
            self._groups[-1] = group
            return
        self._starts.append(start)
        self._groups.append(group)

    @classmethod
    def from_arrays(cls, starts: array, groups: array) -> "BlockIndex":
        """Return an index of arrays that are already sorted by start."""
        index = cls(())
        index._starts = starts
        index._groups = groups
        return index

    def spans(self) -> Iterator[tuple[int, int]]:
        """Yield (start, group index) of each block in order."""
        yield from zip(self._starts, self._groups, strict=True)

    def __len__(self) -> int:
        return len(self._starts)

    @property
    def nbytes(self) -> int:
        """Return the size of the arrays in bytes."""
        return sum(len(arr) * arr.itemsize for arr in (self._starts, self._groups))

    def find(self, address: int) -> int:
        """Return the group index of an IPv4 address, or NO_GROUP."""
        index = bisect_right(self._starts, address) - 1
        return self._groups[index] if index >= 0 else NO_GROUP


def parse_address(text: str) -> int | None:
    """Return an IPv4 address as an integer, or None if the text is not one."""
    try:
        return int(IPv4Address(text))
    except ValueError:
        return None


def pack(typecode: str, numbers: Sequence[int]) -> str:
    """Return integers as base64 of a big-endian array (``I`` 32 bits, ``H`` 16)."""
    packed = array(typecode, numbers)
    if sys.byteorder == "little":
        packed.byteswap()
    return b64encode(packed.tobytes()).decode()


def unpack(typecode: str, text: str) -> array:
    """Return the array that `pack` encoded.

    Raises
    ------
    ValueError
        If the text is not base64 of a whole number of array items.
    """
    numbers = array(typecode)
    numbers.frombytes(b64decode(text, validate=True))
    if sys.byteorder == "little":
        numbers.byteswap()
    return numbers
