"""Injects the scheduled faults into a soak run, each for its duration."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from .proxy import FaultyProxy, Harm
from .schedule import Fault
from .servers import SoakServer
from .world import RESTART_S, SERVES_ON_S, Host, World

# Seconds after SIGTERM at which the users' platform kills a process that still runs.
GRACE_S = 6.0
# Length of an outage of all hosts, in seconds. It is short, because callers should be
# served during most of a run.
KILL_ALL_DARK_S = 1.0
LINK_DELAY_S = 0.15
STORE_SLOW_S = 0.25
FEWEST_SERVERS = 2

Act = Callable[[World, Fault], Awaitable[None]]


async def strike(world: World, faults: list[Fault]) -> None:
    """Inject all faults, each at its time, and return when the last one has ended."""
    running = [asyncio.ensure_future(_at_its_time(world, fault)) for fault in faults]
    try:
        await asyncio.gather(*running)
    finally:
        for task in running:
            task.cancel()


async def _at_its_time(world: World, fault: Fault) -> None:
    await asyncio.sleep(max(0.0, fault.at - world.now()))
    await _ACTS[fault.kind](world, fault)


def _host(world: World, fault: Fault) -> Host:
    return world.hosts[fault.target % len(world.hosts)]


def _server(world: World, fault: Fault) -> SoakServer:
    return world.servers[fault.target % len(world.servers)]


async def _host_kill(world: World, fault: Fault) -> None:
    host = _host(world, fault)
    world.disturb(host, fault.kind, RESTART_S + 1.0)
    world.signal(host, signal.SIGKILL)


async def _host_power(world: World, fault: Fault) -> None:
    """Kill a process behind silent links, so that no peer sees its connections close.

    This is how a power failure of the machine looks to its peers.
    """
    host = _host(world, fault)
    world.disturb(host, fault.kind, fault.for_s + 1.0)
    proxies = (host.callers, host.peers, host.store)
    for proxy in proxies:
        proxy.set(Harm(silent_in=True, silent_out=True))
    world.signal(host, signal.SIGKILL)
    await asyncio.sleep(fault.for_s)
    for proxy in proxies:
        proxy.drop()
        proxy.set(Harm())


async def _host_term(world: World, fault: Fault) -> None:
    host = _host(world, fault)
    proc = host.proc
    world.disturb(host, fault.kind, GRACE_S + RESTART_S)
    world.signal(host, signal.SIGTERM)
    await asyncio.sleep(GRACE_S)
    if proc.poll() is None:
        world.disturb(host, "host-kill", 1.0)
        proc.kill()


async def _host_pause(world: World, fault: Fault) -> None:
    host = _host(world, fault)
    proc = host.proc
    world.disturb(host, fault.kind, fault.for_s + 0.5)
    proc.send_signal(signal.SIGSTOP)
    await asyncio.sleep(fault.for_s)
    proc.send_signal(signal.SIGCONT)


async def _host_hup(world: World, fault: Fault) -> None:
    host = _host(world, fault)
    world.write_settings(host, cold_slack=5 + fault.target % 4)
    world.signal(host, signal.SIGHUP)


def _link(which: str, harm: Harm) -> Act:
    async def act(world: World, fault: Fault) -> None:
        host = _host(world, fault)
        proxy: FaultyProxy = getattr(host, which)
        world.disturb(host, fault.kind, fault.for_s + 0.5)
        proxy.set(harm)
        await asyncio.sleep(fault.for_s)
        proxy.set(Harm())

    return act


async def _server_crash(world: World, fault: Fault) -> None:
    if len(world.servers) <= FEWEST_SERVERS:
        return
    server = _server(world, fault)
    await world.drop_server(server)
    await asyncio.sleep(fault.for_s)
    await world.add_server(server.service, server.domain)


async def _server_drain(world: World, fault: Fault) -> None:
    server = _server(world, fault)
    if server.leaving:
        return
    await world.add_server(server.service, server.domain)
    world.leave_server(server)
    await asyncio.sleep(SERVES_ON_S)
    await world.drop_server(server)


async def _server_reuse(world: World, fault: Fault) -> None:
    """Crash a server and give its address to a server of another service."""
    server = _server(world, fault)
    if server.leaving or len(world.servers) <= FEWEST_SERVERS:
        return
    await world.drop_server(server)
    other = "booking" if server.service == "calendar" else "calendar"
    await asyncio.sleep(2.0)
    await world.add_server(other, server.domain, server.address)
    await world.add_server(server.service, server.domain)


def _mood(**wrong: object) -> Act:
    async def act(world: World, fault: Fault) -> None:
        mood = _server(world, fault).mood
        right = {name: getattr(type(mood)(), name) for name in wrong}
        for name, value in wrong.items():
            setattr(mood, name, value)
        await asyncio.sleep(fault.for_s)
        for name, value in right.items():
            setattr(mood, name, value)

    return act


async def _server_limit(world: World, fault: Fault) -> None:
    """Let a server request a rate limit far below the rate that it receives."""
    server = _server(world, fault)
    if server.mood.limit is not None:
        return
    server.mood.limit = 1.0 + fault.target % 5
    await asyncio.sleep(fault.for_s)
    server.mood.limit = None
    world.ledger.signals.by_server[server.server_id].limit_ended = world.now()


async def _server_leaving_word(world: World, fault: Fault) -> None:
    """Let a server announce in its responses alone that it is draining.

    The store has no report of it before the server stops.
    """
    server = _server(world, fault)
    if server.leaving or server.mood.leaving_word:
        return
    await world.add_server(server.service, server.domain)
    server.mood.leaving_word = True
    await asyncio.sleep(fault.for_s)
    await world.drop_server(server)


async def _server_rest(world: World, fault: Fault) -> None:
    """Let a server refuse all requests with a back-off for half the fault's duration.

    The server requests half of the fault's duration as back-off (Retry-After).
    """
    mood = _server(world, fault).mood
    mood.rest_s = fault.for_s / 2
    await asyncio.sleep(fault.for_s / 2)
    mood.rest_s = 0.0


def _store(**wrong: object) -> Act:
    async def act(world: World, fault: Fault) -> None:
        faults = world.store.faults
        right = {name: getattr(type(faults)(), name) for name in wrong}
        now = world.now()
        world.ledger.core.add(now, now + fault.for_s, fault.kind)
        for name, value in wrong.items():
            setattr(faults, name, value)
        await asyncio.sleep(fault.for_s)
        for name, value in right.items():
            setattr(faults, name, value)

    return act


async def _store_compact(world: World, _fault: Fault) -> None:
    now = world.now()
    world.ledger.core.add(now, now, "store-compact")
    world.store.compact()


async def _change(world: World, _fault: Fault) -> None:
    world.change()


async def _evacuate(world: World, fault: Fault) -> None:
    domains = sorted({server.domain for server in world.servers})
    domain = domains[fault.target % len(domains)]
    world.store.put("evacuations", domain, {})
    begun = world.now()
    await asyncio.sleep(fault.for_s + 3.0)
    world.store.delete("evacuations", domain)
    spans = world.ledger.evacuated.setdefault(domain, [])
    spans.append((begun, world.now()))


async def _kill_all(world: World, fault: Fault) -> None:
    for host in world.hosts:
        world.disturb(host, fault.kind, KILL_ALL_DARK_S + 1.0)
        world.signal(host, signal.SIGKILL)


_CUT = Harm(silent_in=True, silent_out=True)
_ACTS: dict[str, Act] = {
    "host-kill": _host_kill,
    "host-power": _host_power,
    "host-term": _host_term,
    "host-pause": _host_pause,
    "host-hup": _host_hup,
    "store-path-cut": _link("store", _CUT),
    "store-path-one-way": _link("store", Harm(silent_out=True)),
    "store-path-delay": _link("store", Harm(delay_s=LINK_DELAY_S)),
    "peer-path-cut": _link("peers", _CUT),
    "peer-path-one-way": _link("peers", Harm(silent_in=True)),
    "peer-path-reset": _link("peers", Harm(reset=True)),
    "caller-path-delay": _link("callers", Harm(delay_s=LINK_DELAY_S)),
    "caller-path-reset": _link("callers", Harm(reset=True)),
    "server-crash": _server_crash,
    "server-dark": _mood(dark=True),
    "server-drain": _server_drain,
    "server-reuse": _server_reuse,
    "server-lost-answers": _mood(lost=0.3),
    "server-garble": _mood(garbled=0.3),
    "server-slow": _mood(slow=5.0),
    "server-shed": _mood(shed=True),
    "server-limit": _server_limit,
    "server-rest": _server_rest,
    "server-leaving-word": _server_leaving_word,
    "store-busy": _store(down="busy"),
    "store-many": _store(down="many"),
    "store-reset": _store(down="reset"),
    "store-silent": _store(down="silent"),
    "store-slow": _store(slow_s=STORE_SLOW_S),
    "store-lost-writes": _store(lost_writes=True),
    "store-compact": _store_compact,
    "evacuate": _evacuate,
    "change": _change,
    "kill-all": _kill_all,
}
