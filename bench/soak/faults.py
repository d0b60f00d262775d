"""Injects the scheduled faults into a soak run, each for its duration."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from .foreign import draw_objects
from .proxy import FaultyProxy, LinkFault
from .schedule import Fault
from .server_path import Cut
from .servers import SoakServer
from .world import RESTART_S, SERVES_ON_S, Host, World

# Length of an outage of all hosts, in seconds. It is short, because callers should be
# served during most of a run.
KILL_ALL_OUTAGE_S = 1.0
LINK_DELAY_S = 0.15
STORE_SLOW_S = 0.25
# How long the store is away before it comes back from a copy, in seconds.
RESTORE_AWAY_S = 0.5
MIN_SERVERS = 2

FaultAction = Callable[[World, Fault], Awaitable[None]]


async def inject_faults(world: World, faults: list[Fault]) -> None:
    """Inject all faults, each at its time, and return when the last one has ended."""
    running = [
        asyncio.ensure_future(_inject_at_its_time(world, fault)) for fault in faults
    ]
    try:
        await asyncio.gather(*running)
    finally:
        for task in running:
            task.cancel()


async def _inject_at_its_time(world: World, fault: Fault) -> None:
    await asyncio.sleep(max(0.0, fault.at - world.now()))
    await _FAULT_ACTIONS[fault.kind](world, fault)


def _host(world: World, fault: Fault) -> Host:
    return world.hosts[fault.target % len(world.hosts)]


def _server(world: World, fault: Fault) -> SoakServer:
    return world.servers[fault.target % len(world.servers)]


async def _host_kill(world: World, fault: Fault) -> None:
    host = _host(world, fault)
    world.record_disturbance(host, fault.kind, RESTART_S + 1.0)
    world.signal(host, signal.SIGKILL)


async def _host_power(world: World, fault: Fault) -> None:
    """Kill a process behind silent links, so that no peer sees its connections close.

    This is how a power failure of the machine looks to its peers.
    """
    host = _host(world, fault)
    world.record_disturbance(host, fault.kind, fault.for_s + 1.0)
    proxies = (host.callers, host.peers, host.store)
    for proxy in proxies:
        proxy.set_fault(LinkFault(silent_in=True, silent_out=True))
    world.signal(host, signal.SIGKILL)
    await asyncio.sleep(fault.for_s)
    for proxy in proxies:
        proxy.reset_connections()
        proxy.set_fault(LinkFault())


async def _host_term(world: World, fault: Fault) -> None:
    host = _host(world, fault)
    proc = host.proc
    grace_s = world.ledger.grace_s
    world.record_disturbance(host, fault.kind, grace_s + RESTART_S)
    world.signal(host, signal.SIGTERM)
    await asyncio.sleep(grace_s)
    if proc.poll() is None:
        world.record_disturbance(host, "host-kill", 1.0)
        proc.kill()


async def _host_pause(world: World, fault: Fault) -> None:
    host = _host(world, fault)
    proc = host.proc
    world.record_disturbance(host, fault.kind, fault.for_s + 0.5)
    proc.send_signal(signal.SIGSTOP)
    await asyncio.sleep(fault.for_s)
    proc.send_signal(signal.SIGCONT)


async def _host_hup(world: World, fault: Fault) -> None:
    host = _host(world, fault)
    world.write_settings(host, cold_slack=5 + fault.target % 4)
    world.signal(host, signal.SIGHUP)


def _link(proxy_name: str, link_fault: LinkFault) -> FaultAction:
    async def inject(world: World, fault: Fault) -> None:
        host = _host(world, fault)
        proxy: FaultyProxy = getattr(host, proxy_name)
        world.record_disturbance(host, fault.kind, fault.for_s + 0.5)
        proxy.set_fault(link_fault)
        await asyncio.sleep(fault.for_s)
        proxy.set_fault(LinkFault())

    return inject


def _server_path(cut: Cut) -> FaultAction:
    async def inject(world: World, fault: Fault) -> None:
        """Cut a host from all servers; all promises bind it meanwhile."""
        path = _host(world, fault).servers
        path.set_cut(cut)
        await asyncio.sleep(fault.for_s)
        path.set_cut(Cut.NONE)

    return inject


async def _server_crash(world: World, fault: Fault) -> None:
    if len(world.servers) <= MIN_SERVERS:
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
    world.announce_leaving(server)
    await asyncio.sleep(SERVES_ON_S)
    await world.drop_server(server)


async def _server_reuse(world: World, fault: Fault) -> None:
    """Crash a server and give its address to a server of another service."""
    server = _server(world, fault)
    if server.leaving or len(world.servers) <= MIN_SERVERS:
        return
    await world.drop_server(server)
    other_service = "booking" if server.service == "calendar" else "calendar"
    await asyncio.sleep(2.0)
    await world.add_server(other_service, server.domain, server.address)
    await world.add_server(server.service, server.domain)


def _set_behaviour(**changed_values: object) -> FaultAction:
    async def inject(world: World, fault: Fault) -> None:
        behaviour = _server(world, fault).behaviour
        default_values = {
            name: getattr(type(behaviour)(), name) for name in changed_values
        }
        for name, value in changed_values.items():
            setattr(behaviour, name, value)
        await asyncio.sleep(fault.for_s)
        for name, value in default_values.items():
            setattr(behaviour, name, value)

    return inject


async def _server_limit(world: World, fault: Fault) -> None:
    """Let a server request a rate limit far below the rate that it receives."""
    server = _server(world, fault)
    if server.behaviour.limit is not None:
        return
    server.behaviour.limit = 1.0 + fault.target % 5
    await asyncio.sleep(fault.for_s)
    server.behaviour.limit = None
    world.ledger.signals.by_server[server.server_id].limit_ended_at = world.now()


async def _server_announces_leaving(world: World, fault: Fault) -> None:
    """Let a server announce in its responses alone that it is draining.

    The store has no report of it before the server stops.
    """
    server = _server(world, fault)
    if server.leaving or server.behaviour.announces_leaving:
        return
    await world.add_server(server.service, server.domain)
    server.behaviour.announces_leaving = True
    await asyncio.sleep(fault.for_s)
    await world.drop_server(server)


async def _server_back_off(world: World, fault: Fault) -> None:
    """Let a server refuse all requests with a back-off for half the fault's duration.

    The server requests half of the fault's duration as back-off (Retry-After).
    """
    behaviour = _server(world, fault).behaviour
    behaviour.back_off_s = fault.for_s / 2
    await asyncio.sleep(fault.for_s / 2)
    behaviour.back_off_s = 0.0


def _store(**changed_values: object) -> FaultAction:
    async def inject(world: World, fault: Fault) -> None:
        faults = world.store.faults
        default_values = {
            name: getattr(type(faults)(), name) for name in changed_values
        }
        now = world.now()
        world.ledger.store_disturbances.add(now, now + fault.for_s, fault.kind)
        for name, value in changed_values.items():
            setattr(faults, name, value)
        await asyncio.sleep(fault.for_s)
        for name, value in default_values.items():
            setattr(faults, name, value)

    return inject


async def _store_compact(world: World, _fault: Fault) -> None:
    now = world.now()
    world.ledger.store_disturbances.add(now, now, "store-compact")
    world.store.compact()


async def _store_restore(world: World, fault: Fault) -> None:
    """Let the store lose all changes of the fault's duration.

    It is away for a moment; then its writers write again what they last wrote.
    """
    backup = world.store.backup()
    await asyncio.sleep(fault.for_s)
    began_at = world.now()
    world.store.faults.down = "reset"
    world.store.wake_watches()
    await asyncio.sleep(RESTORE_AWAY_S)
    world.store.faults.down = ""
    await world.restore_store(backup)
    world.ledger.store_disturbances.add(began_at, world.now(), fault.kind)


async def _foreign_objects(world: World, fault: Fault) -> None:
    """Let another program store objects that hosts cannot use, and leave them there.

    Nothing is excused by them.
    """
    for kind, name, spec in draw_objects(fault.target):
        world.store.put(kind, name, spec)


async def _accept_new_version(world: World, _fault: Fault) -> None:
    world.accept_new_version()


async def _evacuate(world: World, fault: Fault) -> None:
    domains = sorted({server.domain for server in world.servers})
    domain = domains[fault.target % len(domains)]
    world.begin_evacuation(domain)
    began_at = world.now()
    await asyncio.sleep(fault.for_s + 3.0)
    world.end_evacuation(domain)
    periods = world.ledger.evacuated.setdefault(domain, [])
    periods.append((began_at, world.now()))


async def _kill_all(world: World, fault: Fault) -> None:
    for host in world.hosts:
        world.record_disturbance(host, fault.kind, KILL_ALL_OUTAGE_S + 1.0)
        world.signal(host, signal.SIGKILL)


_CUT = LinkFault(silent_in=True, silent_out=True)
_FAULT_ACTIONS: dict[str, FaultAction] = {
    "host-kill": _host_kill,
    "host-power": _host_power,
    "host-term": _host_term,
    "host-pause": _host_pause,
    "host-hup": _host_hup,
    "store-path-cut": _link("store", _CUT),
    "store-path-one-way": _link("store", LinkFault(silent_out=True)),
    "store-path-delay": _link("store", LinkFault(delay_s=LINK_DELAY_S)),
    "peer-path-cut": _link("peers", _CUT),
    "peer-path-one-way": _link("peers", LinkFault(silent_in=True)),
    "peer-path-reset": _link("peers", LinkFault(reset=True)),
    "caller-path-delay": _link("callers", LinkFault(delay_s=LINK_DELAY_S)),
    "caller-path-reset": _link("callers", LinkFault(reset=True)),
    "server-path-hang": _server_path(Cut.HANG),
    "server-path-refuse": _server_path(Cut.REFUSE),
    "server-path-refuse-new": _server_path(Cut.REFUSE_NEW),
    "server-crash": _server_crash,
    "server-dark": _set_behaviour(unresponsive=True),
    "server-drain": _server_drain,
    "server-reuse": _server_reuse,
    "server-lost-answers": _set_behaviour(lost_share=0.3),
    "server-garble": _set_behaviour(garbled_share=0.3),
    "server-slow": _set_behaviour(service_time_factor=5.0),
    "server-shed": _set_behaviour(shed=True),
    "server-endless-interim": _set_behaviour(endless="interim"),
    "server-endless-surplus": _set_behaviour(endless="surplus"),
    "server-endless-stray": _set_behaviour(endless="stray"),
    "server-limit": _server_limit,
    "server-rest": _server_back_off,
    "server-leaving-word": _server_announces_leaving,
    "store-busy": _store(down="busy"),
    "store-many": _store(down="many"),
    "store-reset": _store(down="reset"),
    "store-silent": _store(down="silent"),
    "store-slow": _store(slow_s=STORE_SLOW_S),
    "store-lost-writes": _store(lost_writes=True),
    "store-compact": _store_compact,
    "store-restore": _store_restore,
    "foreign-objects": _foreign_objects,
    "evacuate": _evacuate,
    "change": _accept_new_version,
    "kill-all": _kill_all,
}
