"""State of one instance; its tasks share it and change it on one thread."""

from __future__ import annotations

import asyncio
import math
import random
import typing

from knapweedhall_router import clock
from knapweedhall_router.control import feed
from knapweedhall_router.links import token_leases
from knapweedhall_router import logs
from knapweedhall_router import settings as settings_module
from knapweedhall_routing import budgets
from knapweedhall_routing import conditions
from knapweedhall_routing import directory
from knapweedhall_routing import health
from knapweedhall_routing import idle_limits
from knapweedhall_routing import load
from knapweedhall_routing import model
from knapweedhall_routing import planning
from knapweedhall_routing import quotas
from knapweedhall_routing import ranges
from knapweedhall_routing import routes
from knapweedhall_routing import workspaces

TIMER_SLACK_S = 0.005


class Signal:
    """Wakes all tasks that wait for a change.

    Attributes
    ----------
    listeners : list of callable
        Called with each change.
    """

    def __init__(self) -> None:
        self.waiters: set[asyncio.Future[None]] = set()
        self.listeners: list[typing.Callable[[], None]] = []

    def notify(self) -> None:
        """Wake all waiting tasks."""
        for listener in self.listeners:
            listener()
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self, timeout_s: float) -> bool:
        """Wait for a change; return False if none came within `timeout_s`."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.add(waiter)
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                await waiter
        except TimeoutError:
            return False
        finally:
            self.waiters.discard(waiter)
        return True


class State:
    """Configuration, upstreams, owners and measurements of one instance.

    Attributes
    ----------
    configuration : model.Configuration or None
        The configuration in force, which has the highest version seen; None
        before the first.
    routes : routes.RouteTable or None
        Routes of the configuration in force.
    workspaces : workspaces.Directory or None
        Workspaces of the configuration in force; None if callers need no key.
    splitter : routes.Splitter
        Splits the requests of a route among its services.
    directory : directory.Directory
        Entries of all upstreams.
    upstreams_listed : bool
        Whether the upstreams were listed at least once.
    store_answered_at : float
        When the last call that the store answered was sent, seconds.
    former_leases_until : float
        When the lease of a coordinator of an earlier era of the store has
        ended at the latest, on `clock.now`; inf before the first join.
    feed : feed.Feed
        Cached records of the store, and who read them when.
    owner_tables : dict of str to ranges.OwnerTable
        Owners of the keys, by service.
    healths : dict of str to health.Health
        Measurements of each upstream, by its name.
    instances : tuple of str
        Names of the live instances that the coordinator announced.
    baselines : dict of str to health.Baseline
        Baseline service times, by service.
    retry_budgets : dict of str to budgets.RetryBudget
        This instance's shares of the retry budgets, by service.
    cold_budgets : dict of str to budgets.ColdBudget
        Budgets of requests to upstreams in a cold start, by upstream.
    idle_limits : dict of str to idle_limits.IdleLimit
        Limits for reusing idle connections, by service.
    movement_rules : dict of str to planning.Rules
        Rules for moving keys that operators have set, by service; others use
        the defaults.
    owners_changed : Signal
        Notified when an owner table changes.
    out_of_service : bool
        Whether operators have taken this instance out of service.
    stopping : bool
        Whether the process is shutting down.
    work_until : float
        When all requests have to be answered as the process ends, on
        `clock.now`; inf unless it is being stopped.
    responses_until : float
        Until when responses to requests that were sent after a stop signal
        are awaited, on `clock.now`; inf unless the process is being stopped.
    accepts_callers : bool
        Whether the listener for callers is open.
    measurements : load.Measurements
        Requests and service times for the reports to the coordinator.
    conditions : conditions.Conditions
        Load and limits of upstreams over all instances.
    tokens : token_leases.TokenLeases
        Tokens of the workspaces' quotas.
    """

    def __init__(self, settings: settings_module.Settings) -> None:
        self.settings = settings
        self.configuration: model.Configuration | None = None
        self.routes: routes.RouteTable | None = None
        self.workspaces: workspaces.Directory | None = None
        self.splitter = routes.Splitter()
        self.directory = directory.Directory()
        self.upstreams_listed = False
        self.store_answered_at = float('-inf')
        self.former_leases_until = math.inf
        self.feed = feed.Feed()
        self.owner_tables: dict[str, ranges.OwnerTable] = {}
        self.healths: dict[str, health.Health] = {}
        self.instances: tuple[str, ...] = (settings.name,)
        self.baselines: dict[str, health.Baseline] = {}
        self.retry_budgets: dict[str, budgets.RetryBudget] = {}
        self.cold_budgets: dict[str, budgets.ColdBudget] = {}
        self.idle_limits: dict[str, idle_limits.IdleLimit] = {}
        self.measurements = load.Measurements()
        self.conditions = conditions.Conditions(self.healths)
        self.movement_rules: dict[str, planning.Rules] = {}
        self.owners_changed = Signal()
        self.out_of_service = False
        self.stopping = False
        self.work_until = math.inf
        self.responses_until = math.inf
        self.accepts_callers = False
        self.rng = random.Random(settings.name)
        self.tokens = token_leases.TokenLeases(settings.name, self.rng)

    def is_work_over(self) -> bool:
        """Return whether a stopping process ends its requests now."""
        # A timer may end just before its time.
        return clock.now() >= self.work_until - TIMER_SLACK_S

    def configure(self, new: model.Configuration) -> bool:
        """Put a newer configuration in force; return whether it was newer."""
        known = self.configuration
        if known is not None and new.version <= known.version:
            return False
        # First, so that a fault leaves the configuration in force.
        table = routes.RouteTable(new)
        directory_of_workspaces = workspaces.from_configuration(new)
        self.configuration, self.routes = new, table
        self.workspaces = directory_of_workspaces
        self.splitter.keep_only([route.name for route in new.routes])
        self.tokens.leases.configure(quotas.quotas(new))
        logs.info(
            'configuration_in_force',
            version=new.version,
            routes=len(new.routes),
            services=len(new.services),
            workspaces=(
                None if new.workspaces is None else len(new.workspaces)
            ),
        )
        return True

    def configuration_version(self) -> int:
        """Return the version of the configuration in force; 0 for none."""
        return self.configuration.version if self.configuration else 0

    def service(self, name: str) -> model.Service:
        """Return a service, with defaults if it is not configured."""
        service = None
        if self.configuration is not None:
            service = self.configuration.services.get(name)
        return service or model.Service(name, False, 100, 0.0)

    def divided_services(self) -> list[str]:
        """Return the names of the services whose keys have owners."""
        if self.configuration is None:
            return []
        services = self.configuration.services.values()
        return [service.name for service in services if service.divided]

    def movement_rules_for(self, service: str) -> planning.Rules:
        """Return the rules for moving the keys of a service."""
        return self.movement_rules.get(service, planning.Rules())

    def owner_table(self, service: str) -> ranges.OwnerTable:
        """Return the owners of a service's keys."""
        return self.owner_tables.setdefault(service, ranges.OwnerTable())

    def baseline(self, service: str) -> health.Baseline:
        """Return the baseline service time of a service."""
        return self.baselines.setdefault(service, health.Baseline())

    def health(self, upstream: model.Upstream) -> health.Health:
        """Return the measured health of an upstream."""
        measured = self.healths.get(upstream.name)
        if measured is None:
            measured = health.Health(
                upstream.slots, self.baseline(upstream.service)
            )
            self.healths[upstream.name] = measured
        return measured

    def retry_budget(self, service: str) -> budgets.RetryBudget:
        """Return this instance's share of a service's retry budget."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            settings = self.settings
            budget = self.retry_budgets[service] = budgets.RetryBudget(
                settings.retry_ratio,
                settings.retry_extra,
                settings.retry_window_s,
            )
        budget.instances = len(self.instances)
        return budget

    def idle_limit(self, service: str) -> idle_limits.IdleLimit:
        """Return the limit for reusing idle connections to a service."""
        return self.idle_limits.setdefault(service, idle_limits.IdleLimit())

    def admit_cold(self, upstream: str, service: str, now: float) -> bool:
        """Return whether a cold upstream may get a request; count it if so."""
        per_s = budgets.cold_share(
            upstream,
            self.settings.name,
            self.instances,
            self.service(service).cold_per_s,
        )
        budget = self.cold_budgets.setdefault(upstream, budgets.ColdBudget())
        return budget.admit(now, per_s)

    def count_request(self, service: str, key: int) -> None:
        """Count a request for the rates that the coordinator computes."""
        self.measurements.add_request(service, key, clock.now())

    def add_service_time(self, upstream: str, service_s: float) -> None:
        """Add a service time to those reported to the coordinator."""
        self.measurements.add_service_time(upstream, service_s, clock.now())

    def add_load(
        self,
        upstream: str,
        report: model.LoadReport,
        service_s: float | None = None,
    ) -> None:
        """Add the load that an upstream stated to the next report.

        Parameters
        ----------
        upstream : str
            Its name.
        report : model.LoadReport
            What it stated.
        service_s : float or None
            Service time of the request, seconds; None if it was refused.
        """
        self.measurements.add_load(upstream, report, service_s, clock.now())

    def record_leaving(
        self, upstream: str, source: str, born_ms: int | None = None
    ) -> None:
        """Record that an upstream said that it is leaving.

        Parameters
        ----------
        upstream : str
            Its name.
        source : {'response', 'order', 'report', 'heartbeat'}
            How this instance learned of it.
        born_ms : int or None
            Its incarnation; None for the listed one.
        """
        if self.directory.record_leaving(upstream, clock.now(), born_ms):
            logs.info('upstream_leaving', upstream=upstream, source=source)
            # Requests that wait for a moved key look again.
            self.owners_changed.notify()

    def pauses(self) -> dict[str, float]:
        """Return the time left of upstreams' pauses, by name, seconds."""
        now = clock.now()
        return {
            name: round(measured.paused_until - now, 3)
            for name, measured in self.healths.items()
            if measured.is_paused(now)
        }

    def overdue(self) -> dict[str, float]:
        """Return the age of overdue requests by upstream, seconds."""
        now = clock.now()
        ages = {
            name: round(measured.overdue_s(now), 2)
            for name, measured in self.healths.items()
            if measured.sent_at
        }
        return {name: age_s for name, age_s in ages.items() if age_s}

    def drop_measurements(self, upstream: str) -> None:
        """Drop the measurements of a removed upstream.

        Its health is kept while requests to it are outstanding.
        """
        measured = self.healths.get(upstream)
        if measured is not None and not measured.outstanding:
            del self.healths[upstream]
        self.cold_budgets.pop(upstream, None)

    def is_ready(self) -> bool:
        """Return whether this instance can serve callers."""
        if self.stopping or self.out_of_service or not self.accepts_callers:
            return False
        if self.configuration is None or not self.upstreams_listed:
            return False
        return all(
            self.owner_table(service).owned_ranges
            for service in self.divided_services()
        )
