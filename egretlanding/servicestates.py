"""The state that an ingress keeps of each service that it calls."""

import random
import statistics
from collections.abc import Callable, Collection, Iterable

import attrs

from egretlanding.balancing import (
    AttemptSpec,
    Balancer,
    Choice,
    link_bucket,
    no_target,
)
from egretlanding.expectations import Expectations
from egretlanding.nestedroutes import NestedRoutes
from egretlanding.objects import Service
from egretlanding.outcomes import Refusal
from egretlanding.retries import HedgeTimer, RetryBudget
from egretlanding.subsets import Locality
from egretlanding.targets import TargetTable, slots_of
from egretlanding.throttling import OfferLimit
from egretlanding.tokens import TokenBucket
from egretlanding.views import View

Chooser = Callable[
    [Balancer, AttemptSpec, float, random.Random],
    Choice | Refusal,
]
CHOOSERS: dict[str, Chooser] = {}
MAX_HEDGE_TIMERS = 1_024
# A target has spare capacity if its load is below this share of its slots.
SPARE_LOAD_SHARE = 0.5
# Load reports older than this are disregarded, seconds.
MAX_REPORT_AGE_S = 3


def register_chooser(name: str) -> Callable[[Chooser], Chooser]:
    """Registers a function that chooses targets.

    Args:
        name: The value of the setting `balancing` that selects it.

    Returns:
        A decorator that records the function and returns it unchanged.
    """

    def register(choose: Chooser) -> Chooser:
        CHOOSERS[name] = choose
        return choose

    return register


@register_chooser('p2c')
def choose_better_of_two(
    balancer: Balancer,
    spec: AttemptSpec,
    now: float,
    rng: random.Random,
) -> Choice | Refusal:
    """Chooses the better of two random targets by this ingress's evidence."""
    return balancer.choose(spec, now, rng)


@register_chooser('near')
def choose_near_first(
    balancer: Balancer,
    spec: AttemptSpec,
    now: float,
    rng: random.Random,
) -> Choice | Refusal:
    """Chooses a target of another region only if this one has no capacity."""
    return balancer.choose_near_first(spec, now, rng)


@register_chooser('random')
def choose_at_random(
    balancer: Balancer,
    spec: AttemptSpec,
    now: float,
    rng: random.Random,
) -> Choice | Refusal:
    """Chooses a random reachable target; the baseline for measurements."""
    group = balancer.targets.usable_targets(now, spec.excluded, spec.regions)
    if not group:
        return no_target(spec)
    target = rng.choice(group)
    return Choice(target.host, target.distance)


def has_spare_capacity(
    targets: TargetTable,
    excluded: frozenset[str],
    now: float,
    regions: Collection[str] = (),
) -> bool:
    """Returns whether half of the targets have most of their slots free.

    Only targets that reported their load recently count. The others are
    mostly in other regions and seem idle because they get no calls.

    Args:
        targets: The targets of a service.
        excluded: Ids of hosts to disregard.
        now: Monotonic time, seconds.
        regions: The regions that the targets may be in, empty for all.
    """
    loads = [
        target.load(now) / slots_of(targets, target)
        for target in targets.usable_targets(now, excluded, regions)
        if now - target.load_report.reported < MAX_REPORT_AGE_S
    ]
    return bool(loads) and statistics.median(loads) < SPARE_LOAD_SHARE


@attrs.define(eq=False)
class ServiceState:
    """The state that an ingress keeps of one service.

    Attributes:
        balancer: Chooses targets of the service.
        budget: Limits the retries and hedges of its calls.
        offers: Limits the calls that are offered while most are refused.
    """

    balancer: Balancer
    budget: RetryBudget
    offers: OfferLimit = attrs.field(factory=OfferLimit)

    def update_daemon_count(self, daemon_count: int) -> None:
        """Records how many daemons share the budget and the targets."""
        self.budget.update_daemon_count(daemon_count)
        self.balancer.targets.daemon_count = daemon_count


@attrs.define(eq=False)
class ServiceStates:
    """The state that an ingress keeps of all services it has called.

    Attributes:
        locality: The host, region and failure domain of this ingress.
        choose: Chooses the target of an attempt.
        rng: Source of the random choices.
        link: Budget of bytes sent over the link to other regions.
        view: The configuration in force, None while there is none.
        services: The state of each service, by name.
        hedge_timers: Measured latencies that time the hedges, by route.
        unready: Hosts that accept no calls, with the monotonic time at which
            each is tried again, seconds.
        new_budget: Builds the retry budget of a service.
        daemon_count: Number of daemons that share the slack of the retry
            budgets, 0 if it is not shared.
        new_expectations: Builds what reports on a service's targets imply,
            None if learned limits are off.
        nested: Learns which routes the local target calls, None if fair shares
            are off.
    """

    locality: Locality
    choose: Chooser
    rng: random.Random
    link: TokenBucket = attrs.field(factory=lambda: TokenBucket.full(0, 0, 0))
    view: View | None = None
    services: dict[str, ServiceState] = attrs.field(factory=dict)
    hedge_timers: dict[str, HedgeTimer] = attrs.field(factory=dict)
    unready: dict[str, float] = attrs.field(factory=dict)
    new_budget: Callable[[float], RetryBudget] = RetryBudget.with_initial_tokens
    daemon_count: int = 0
    new_expectations: Callable[[], Expectations | None] = lambda: None
    nested: NestedRoutes | None = None

    def service(self, name: str, now: float) -> ServiceState:
        """Returns the state of a service of the configuration in force."""
        state = self.services.get(name)
        if state is None:
            state = self.add_service(name, now)
        return state

    def hedge_timer(self, route: str) -> HedgeTimer:
        """Returns the measured latencies of a route that time its hedges."""
        if len(self.hedge_timers) > MAX_HEDGE_TIMERS:
            self.hedge_timers.clear()
        return self.hedge_timers.setdefault(route, HedgeTimer())

    def add_service(self, name: str, now: float) -> ServiceState:
        """Creates the state of a service."""
        assert self.view is not None
        spec: Service = self.view.routes.services[name]
        balancer = Balancer.for_service(self.locality, spec, self.link)
        state = ServiceState(balancer, self.new_budget(now))
        if self.daemon_count:
            state.update_daemon_count(self.daemon_count)
        self.services[name] = state
        targets = balancer.targets
        targets.expectations = self.new_expectations()
        targets.update_hosts(self.view.hosts.of_service(name), now)
        targets.unready_hosts = frozenset(self.unready)
        return state

    def apply(self, view: View, now: float) -> None:
        """Puts a new release or host list in force."""
        previous = self.view
        self.view = view
        region = view.region(self.locality.region)
        hosts_in_region = sum(
            host.region == self.locality.region
            for host in view.hosts.hosts.values()
        )
        if previous is None or previous.region(self.locality.region) != region:
            self.link = link_bucket(region, hosts_in_region, now)
        self.services = {
            name: state
            for name, state in self.services.items()
            if name in view.routes.services
        }
        for name, state in self.services.items():
            state.balancer.link = self.link
            state.balancer.targets.service = view.routes.services[name]
            hosts = view.hosts.of_service(name)
            state.balancer.targets.update_hosts(hosts, now)

    def update_daemon_count(self, daemon_count: int) -> None:
        """Records how many daemons share the retry budgets and the targets."""
        self.daemon_count = daemon_count
        for state in self.services.values():
            state.update_daemon_count(daemon_count)

    def refuse_calls(self) -> None:
        """Refuses new calls until `apply`, as the view may be stale."""
        self.view = None

    def mark_unready(self, host_ids: Iterable[str], until: float) -> None:
        """Sends no new calls to some hosts for a while.

        Args:
            host_ids: Ids of the hosts.
            until: When they are tried again, monotonic seconds.
        """
        self.unready.update(dict.fromkeys(host_ids, until))
        self.update_balancers()

    def mark_ready(self, host_id: str) -> None:
        """Sends calls to a host again."""
        if self.unready.pop(host_id, None) is not None:
            self.update_balancers()

    def expire_unready(self, now: float) -> None:
        """Sends calls again to hosts whose unready time has passed."""
        expired = [host for host, until in self.unready.items() if until <= now]
        for host_id in expired:
            self.mark_ready(host_id)

    def record_unreachable(self, host_id: str, now: float) -> None:
        """Records that a host could not be connected to."""
        for state in self.services.values():
            state.balancer.targets.record_unreachable(host_id, now)

    def record_reachable(self, host_id: str) -> None:
        """Records that the daemon of a host is up."""
        for state in self.services.values():
            target = state.balancer.targets.evidence.get(host_id)
            if target is not None:
                target.record_reachable()

    def reset_after_pause(self, now: float) -> None:
        """Drops stale evidence after a pause of this process."""
        for state in self.services.values():
            state.balancer.targets.reset_after_pause(now)

    def update_balancers(self) -> None:
        """Updates the hosts to avoid in the balancers of all services."""
        unready_hosts = frozenset(self.unready)
        for state in self.services.values():
            state.balancer.targets.unready_hosts = unready_hosts
