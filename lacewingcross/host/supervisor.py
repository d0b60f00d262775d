"""A supervisor that starts child tasks, restarts failed ones, and stops all."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from .. import logs

MIN_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 5.0
STABLE_RUN_S = 30.0


@dataclass(slots=True, frozen=True)
class Child:
    """A named coroutine function that runs until it is cancelled."""

    name: str
    run: Callable[[], Awaitable[None]]


class Supervisor:
    """Runs children one-for-one: a child that fails is restarted alone, with back-off.

    A child that returns is not restarted, and an `AssertionError` stops all children.
    The delay before a restart doubles from `MIN_RESTART_DELAY_S` up to
    `MAX_RESTART_DELAY_S`. After a run longer than `STABLE_RUN_S` it starts again from
    `MIN_RESTART_DELAY_S`.

    Parameters
    ----------
    name : str
        Name of this supervisor in the tree, for logs.
    children : list of Child
        Started in order, cancelled in reverse order. A child may be the `run` of
        another supervisor.
    on_restart : callable, optional
        Called with the name of a child that has failed, before it is started again.
    """

    __slots__ = ("_children", "_on_restart", "_tasks", "name", "restarts")

    def __init__(
        self,
        name: str,
        children: list[Child],
        on_restart: Callable[[str], None] = lambda child: None,
    ) -> None:
        self.name = name
        self._on_restart = on_restart
        self.restarts = 0
        self._children = children
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Run all children until cancelled, until all return or an invariant breaks."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(
                self._keep_running(child), name=f"{self.name}/{child.name}"
            )
            for child in self._children
        ]
        try:
            await asyncio.gather(*self._tasks)
        finally:
            await self._stop()

    async def _stop(self) -> None:
        for task in reversed(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _keep_running(self, child: Child) -> None:
        loop = asyncio.get_running_loop()
        delay_s = MIN_RESTART_DELAY_S
        failures_in_a_row = 0
        while True:
            started_at = loop.time()
            try:
                await child.run()
                return
            except asyncio.CancelledError:
                raise
            except AssertionError:
                # An invariant is broken, so running on could violate a guarantee to
                # callers or operators. The whole tree stops.
                raise
            except Exception as exc:
                if loop.time() - started_at > STABLE_RUN_S:
                    delay_s = MIN_RESTART_DELAY_S
                    failures_in_a_row = 0
                failures_in_a_row += 1
                self.restarts += 1
                self._on_restart(child.name)
                logs.event(
                    "child-restarted",
                    "ERROR",
                    child=f"{self.name}/{child.name}",
                    error=repr(exc),
                    where=logs.place_of(exc),
                    in_a_row=failures_in_a_row,
                )
            await asyncio.sleep(delay_s)
            delay_s = min(MAX_RESTART_DELAY_S, delay_s * 2)


async def run_until_stopped(
    root: Supervisor,
    stop: asyncio.Event,
    finish: Callable[[], Awaitable[None]],
    close: Callable[[], None],
) -> None:
    """Run a supervisor tree until `stop` is set, then shut it down gracefully.

    Parameters
    ----------
    root : Supervisor
        Root of the tree.
    stop : asyncio.Event
        Set when the process is to end.
    finish : callable
        Finishes the work in progress while the tree still runs. `finish` is not called
        when the tree ends by itself.
    close : callable
        Closes resources that do not belong to the tree, when the tree is cancelled.
    """
    loop = asyncio.get_running_loop()
    tree = loop.create_task(root.run())
    stop_waiter = loop.create_task(stop.wait())
    try:
        await asyncio.wait((tree, stop_waiter), return_when=asyncio.FIRST_COMPLETED)
        if not tree.done():
            await finish()
    finally:
        stop_waiter.cancel()
        tree.cancel()
        close()
        await asyncio.gather(tree, return_exceptions=True)
    if not tree.cancelled() and tree.exception() is not None:
        raise tree.exception()
