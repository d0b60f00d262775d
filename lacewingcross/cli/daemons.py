"""Commands that run a process: the entry host and the stand-ins."""

import asyncio
import signal

from .. import logs, settings
from ..gateway import app as gateway
from ..host.app import run_host
from ..standins.backend import BackendStandin
from ..standins.platform import PlatformStandin


def host(*, cfg: str = "") -> None:
    """Run an entry host until SIGTERM; requests in flight are finished first.

    Without --cfg the host runs on the users' platform, which names the settings file
    in the environment.

    Example: lacewingcross host --cfg host-1.json

    Parameters
    ----------
    cfg : str
        Settings file.
    """
    if cfg:
        asyncio.run(run_host(settings.load_host(cfg)))
        return
    gateway.main()


def platform(*, cfg: str) -> None:
    """Run the stand-in of the platform.

    Example: lacewingcross standin platform --cfg platform.json

    Parameters
    ----------
    cfg : str
        Settings file.
    """
    loaded = settings.load_platform(cfg)
    logs.setup(loaded.log_level, standin="platform")
    asyncio.run(_serve(PlatformStandin(loaded)))


def backend(*, cfg: str) -> None:
    """Run the stand-in of a backend server.

    Example: lacewingcross standin backend --cfg booking-1.json

    Parameters
    ----------
    cfg : str
        Settings file.
    """
    loaded = settings.load_backend(cfg)
    logs.setup(loaded.log_level, standin=loaded.server_id)
    asyncio.run(_serve(BackendStandin(loaded)))


async def _serve(standin: PlatformStandin | BackendStandin) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    port = await standin.start()
    logs.event("standin-started", port=port)
    await stop.wait()
    await standin.close()
