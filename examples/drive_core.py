"""Drives two host cores without any I/O, with its own clock, transport and platform.

The example shows what a driver has to do for the core: it passes every event together
with the time, carries out every action in order, and passes a `Tick` every 20 ms while
`HostCore.busy` is set and every 100 ms otherwise. Run it with
``python examples/drive_core.py``.
"""

import random
from collections import deque

from lacewingcross.core import actions as act
from lacewingcross.core.attempts import Ending
from lacewingcross.core.config import Entry
from lacewingcross.core.events import (
    AttemptEnded,
    ConfigSeen,
    FirstByteWritten,
    HostsListed,
    PeerConnected,
    PeerMessage,
    RequestArrived,
    Tick,
    WriteEnded,
)
from lacewingcross.core.membership import HostInfo
from lacewingcross.core.node import HostCore
from lacewingcross.core.resources import encode_value

HOSTS = [
    HostInfo(f"host-{num}", "north", f"north-{num}", f"10.0.0.{num}:80", "10.0.0.9:81")
    for num in (1, 2)
]
POOL = {
    "servers": [
        {
            "id": f"s{num}",
            "address": f"10.1.0.{num}:80",
            "region": "north",
            "failure_domain": "north-1",
            "slots": 2,
        }
        for num in (1, 2)
    ]
}
POLICY = {"groups": [{"name": "all", "blocks": [], "weights": {"north": 1}}]}
STEP_S = 0.02
SERVICE_S = 0.05


class Driver:
    """Drives the cores with a clock, an in-order transport and a platform in a dict."""

    def __init__(self) -> None:
        self.now = 0.0
        self.answered = 0
        self.refused = 0
        self.sent_between_hosts = 0
        self._revision = 0
        self._entries: dict[str, Entry] = {}
        self._queue: deque[tuple[str, object]] = deque()
        self._running: list[tuple[float, str, act.StartAttempt]] = []
        self.cores = {
            info.host_id: HostCore(info, num, random.Random(num))
            for num, info in enumerate(HOSTS, 1)
        }

    def start(self) -> None:
        """Make the hosts known to each other and store the configuration."""
        for info in HOSTS:
            self._feed(info.host_id, HostsListed(HOSTS))
            for other in HOSTS:
                if other is not info:
                    self._feed(info.host_id, PeerConnected(other, 1))
        self._store("BackendPool/booking", POOL)
        self._store("SteeringPolicy/booking", POLICY)
        self.run(2.0)

    def run(self, seconds: float) -> None:
        """Advance the clock in steps of `STEP_S` and complete the attempts due."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for host_id in self.cores:
                self._feed(host_id, Tick())
            self._complete_attempts()

    def request(self, host_id: str, request_id: str) -> None:
        """Let a request arrive at a host."""
        event = RequestArrived(request_id, "booking", "GET", "caller", None, 1.0)
        self._feed(host_id, event)

    def _feed(self, host_id: str, event: object) -> None:
        self._queue.append((host_id, event))
        while self._queue:
            target, queued_event = self._queue.popleft()
            for action in self.cores[target].handle(queued_event, self.now):
                self._carry_out(target, action)

    def _carry_out(self, host_id: str, action: act.Action) -> None:
        if isinstance(action, act.SendPeer):
            self.sent_between_hosts += 1
            message = PeerMessage(host_id, action.message)
            self._queue.append((action.host_id, message))
        elif isinstance(action, act.StartAttempt):
            written = FirstByteWritten(action.request_id, action.attempt)
            self._queue.append((host_id, written))
            self._running.append((self.now + SERVICE_S, host_id, action))
        elif isinstance(action, act.Finish):
            self.refused += 1
        elif isinstance(action, act.CreateObject | act.UpdateObject):
            self._store(action.key, action.spec)
            ended = WriteEnded(action.call_id, "ok", self._revision)
            self._queue.append((host_id, ended))

    def _store(self, key: str, spec: object) -> None:
        self._revision += 1
        entry = Entry(key, self._revision, encode_value({"spec": spec}))
        self._entries[key] = entry
        if not key.startswith("Report/"):
            for host_id in self.cores:
                self._queue.append((host_id, ConfigSeen([entry], self._revision)))

    def _complete_attempts(self) -> None:
        due = [item for item in self._running if item[0] <= self.now]
        self._running = [item for item in self._running if item[0] > self.now]
        for _, host_id, attempt_action in due:
            self.answered += 1
            ended = AttemptEnded(
                attempt_action.request_id,
                attempt_action.attempt,
                Ending.ANSWERED,
                SERVICE_S,
                200,
            )
            self._feed(host_id, ended)


def main() -> Driver:
    """Send 100 requests at once, spread over both hosts, and print the outcomes."""
    driver = Driver()
    driver.start()
    for num in range(100):
        driver.request(HOSTS[num % 2].host_id, f"r{num}")
    driver.run(3.0)
    print(
        f"answered={driver.answered} refused={driver.refused} "
        f"messages={driver.sent_between_hosts} seconds={driver.now:.2f}"
    )
    return driver


if __name__ == "__main__":
    main()
