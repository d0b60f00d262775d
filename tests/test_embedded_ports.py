"""Choice of listener ports for tests, the demo and the soak."""

import itertools
import socket
from pathlib import Path

from lacewingcross.embedded import free_ports


def test_ports_are_outside_the_ephemeral_range():
    # Guards against a listener port that is already in use when its host starts. An
    # ephemeral port may be assigned to an outgoing connection of another host between
    # the choice of the port and the start of the listener. A host could not listen for
    # ten seconds for this reason.
    chosen = list(itertools.islice(free_ports(), 200))
    first, last = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()
    assert len(set(chosen)) == 200
    assert not any(int(first) <= port <= int(last) for port in chosen)


def test_a_port_in_use_is_skipped():
    ports = free_ports()
    first = next(ports)
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", first + 1))
        taken.listen()
        assert next(ports) != first + 1
