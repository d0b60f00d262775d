"""The planners of this host, one for each service.

All are kept up to date; only the planners of services that this host owns write plans.
"""

from collections.abc import Iterator

from . import messages as msg
from .actions import Action, Count, CreateObject, Log, UpdateObject
from .events import WriteEnded
from .plan import encode_plan
from .planner import Planner, PlannerInput, Step
from .resources import PLAN, object_key
from .view import View

# The period of steps is the larger of this time and of `STEP_S_PER_GROUP` for each
# group of the service that has most.
MIN_STEP_PERIOD_S = 1.0
STEP_S_PER_GROUP = 0.04
# Time after which a write without a result no longer holds back the next step.
WRITE_TIMEOUT_S = 10.0
# Call ids of claims and reports start at other bases, so that all ids differ.
CALL_ID_BASE = 1 << 40


class PlannerSet:
    """One planner for each service.

    Parameters
    ----------
    view : View
        Shared state.
    """

    __slots__ = ("_calls", "_last_call_id", "_stepped_at", "_view", "planners")

    def __init__(self, view: View) -> None:
        self._view = view
        self.planners: dict[str, Planner] = {}
        self._calls: dict[int, tuple[str, float]] = {}
        self._last_call_id = CALL_ID_BASE
        self._stepped_at = float("-inf")

    def on_plan(self, service: str, now: float) -> None:
        """Pass the plan that is now in the configuration to its planner."""
        plan = self._view.config.plans.get(service)
        if plan is not None:
            self._planner(service).on_plan(plan, now)

    def on_load(self, load: msg.RegionLoad, now: float) -> None:
        """Pass a keeper's load report to the planner of its service."""
        self._planner(load.service).on_load(load, now)

    def _planner(self, service: str) -> Planner:
        planner = self.planners.get(service)
        if planner is None:
            tag = f"{self._view.own.host_id}.{self._view.incarnation}"
            planner = Planner(service, tag)
            self.planners[service] = planner
        return planner

    def owns_call(self, call_id: int) -> bool:
        """Return whether a call is a planner's write that has not ended."""
        return call_id in self._calls

    def write_ended(self, ended: WriteEnded) -> Iterator[Action]:
        """Record the end of a plan write.

        The new plan arrives with the configuration, from the platform or another host.
        """
        service, _ = self._calls.pop(ended.call_id)
        yield Count(f"plan.write-{ended.outcome}")
        yield Log("plan-written", {"service": service, "outcome": ended.outcome})

    def _step_period_s(self) -> float:
        """Return the time between steps in seconds.

        It grows with the number of groups of the service that has most.
        """
        policies = self._view.config.policies.values()
        group_count = max((len(policy.groups) for policy in policies), default=0)
        return max(MIN_STEP_PERIOD_S, STEP_S_PER_GROUP * group_count)

    def tick(self, now: float) -> Iterator[Action]:
        """Plan each service that this host owns, once in each step period.

        Nothing is planned while the configuration is incomplete.
        """
        if (
            now - self._stepped_at < self._step_period_s()
            or not self._view.config.complete
        ):
            return
        self._stepped_at = now
        own = self._view.own.host_id
        for service in sorted(self._view.config.policies):
            if self._view.planner_of(service, now) == own:
                yield from self._step(service, now)

    def _step(self, service: str, now: float) -> Iterator[Action]:
        config = self._view.config
        pool = config.pools.get(service)
        if pool is None or not pool.servers or self._has_open_write(service, now):
            return
        planner = self._planner(service)
        inputs = PlannerInput(
            config.policies[service],
            pool,
            config.cap(service),
            config.drained_regions(service),
            planner.lost(now),
        )
        step = planner.step(config.plans.get(service), inputs, now)
        if step is not None:
            yield from self._write(service, step, now)

    def _has_open_write(self, service: str, now: float) -> bool:
        """Return whether a plan write is under way, for `WRITE_TIMEOUT_S` at most."""
        return any(
            name == service and now - written_at < WRITE_TIMEOUT_S
            for name, written_at in self._calls.values()
        )

    def _write(self, service: str, step: Step, now: float) -> Iterator[Action]:
        self._last_call_id += 1
        self._calls[self._last_call_id] = (service, now)
        key = object_key(PLAN, service)
        spec = encode_plan(step.plan)
        yield Log("plan-step", {"service": service, "cause": step.cause})
        version = self._view.config.plan_versions.get(service)
        if version is None:
            yield CreateObject(self._last_call_id, key, spec)
        else:
            yield UpdateObject(self._last_call_id, key, spec, version)
