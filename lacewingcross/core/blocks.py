"""Client blocks in packed arrays: from an address to the index of its group."""

from array import array
from bisect import bisect_right
from collections.abc import Iterable
from ipaddress import IPv4Address, IPv4Network

NO_GROUP = 0xFFFF
_TOP = 1 << 32


class BlockIndex:
    """Sorted block starts with a 16-bit group each (6 bytes a block).

    Parameters
    ----------
    networks : iterable of (str, int)
        Network in CIDR form and group index; the more specific network wins.
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
        """Turn nested spans into consecutive starts, innermost group on top."""
        open_spans: list[tuple[int, int]] = []
        self._append(0, NO_GROUP)
        for start, end, group in spans:
            self._close_until(start, open_spans)
            self._append(start, group)
            open_spans.append((end, group))
        self._close_until(_TOP, open_spans)

    def _close_until(self, start: int, open_spans: list[tuple[int, int]]) -> None:
        while open_spans and open_spans[-1][0] <= start:
            end, _ = open_spans.pop()
            group = open_spans[-1][1] if open_spans else NO_GROUP
            if end < _TOP:
                self._append(end, group)

    def _append(self, start: int, group: int) -> None:
        if self._starts and self._starts[-1] == start:
            self._groups[-1] = group
            return
        self._starts.append(start)
        self._groups.append(group)

    def __len__(self) -> int:
        return len(self._starts)

    @property
    def nbytes(self) -> int:
        """Return the size of the arrays in bytes."""
        return sum(len(arr) * arr.itemsize for arr in (self._starts, self._groups))

    def find(self, address: int) -> int:
        """Return the group index of an IPv4 address, or NO_GROUP."""
        return self._groups[bisect_right(self._starts, address) - 1]


def parse_address(text: str) -> int | None:
    """Return an IPv4 address as a number, or None when it is not one."""
    try:
        return int(IPv4Address(text))
    except ValueError:
        return None
