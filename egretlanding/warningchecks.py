"""Checks for what a valid configuration probably doesn't mean to say.

Daemons don't run them: a warning never keeps a configuration out.
"""

import re
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from itertools import chain

import attrs

from egretlanding.faults import Fault, order, registered_in
from egretlanding.objects import Branch, ConfigObject, Policy, Route
from egretlanding.policies import resolve_policy
from egretlanding.release import Release
from egretlanding.routing import RouteTable
from egretlanding.texts import quote

# Number of targets by service and region.
TargetCounts = Mapping[tuple[str, str], int]

# A path in a request starts with a slash, and a query or fragment is no part
# of it.
PATH_PATTERN = r'/[^?#\s]*'
# The domain of a call is compared in lower case and without its port.
UNMATCHED_DOMAIN_PATTERN = r'.*[A-Z:/\s].*'


@attrs.frozen
class CheckedConfiguration:
    """A configuration without faults, and what is known of its environment.

    Attributes:
        release: The objects.
        table: The routes with all that belongs to them.
        targets: The targets, None if they aren't known.
        grace_ms: Time that a daemon has to stop, ms, None if it isn't known.
        declares_regions: Whether operators declare the regions of a service.
    """

    release: Release
    table: RouteTable
    targets: TargetCounts | None = None
    grace_ms: float | None = None
    declares_regions: bool = True

    @classmethod
    def from_objects(
        cls,
        objects: Iterable[ConfigObject],
        targets: TargetCounts | None = None,
        grace_ms: float | None = None,
        *,
        declares_regions: bool = True,
    ) -> 'CheckedConfiguration':
        """Indexes a set of objects without faults.

        Args:
            objects: The objects.
            targets: The targets, None if they aren't known.
            grace_ms: Time that a daemon has to stop, ms, or None.
            declares_regions: Whether operators declare the regions of a
                service.
        """
        by_key = {(one.kind, one.name): one for one in objects}
        release = Release(0, '', by_key, {}, '')
        table = RouteTable.from_release(release, resolve_policy)
        return cls(release, table, targets, grace_ms, declares_regions)

    def of_kind(self, kind: str) -> tuple[ConfigObject, ...]:
        """Returns the objects of one kind, ordered by name."""
        objects = self.release.objects.values()
        return order(one for one in objects if one.kind == kind)

    def routes(self) -> Iterator[tuple[ConfigObject, Policy]]:
        """Yields each route with its effective policy, ordered by name."""
        for route in self.of_kind(Route.__name__):
            yield route, self.table.policies[route.spec.policy]

    def services_of(self, route: ConfigObject) -> frozenset[str]:
        """Returns the services that run the calls of a route."""
        branches = self.table.branches.get(route.name, ())
        shares = frozenset(one.service for one in branches if one.weight)
        return shares or frozenset((route.spec.service,))

    def count_targets(
        self, service: str, regions: Collection[str] = ()
    ) -> int | None:
        """Returns the number of targets of a service, None if unknown.

        Args:
            service: Name of the service.
            regions: The regions to count in; empty means all.
        """
        if self.targets is None:
            return None
        return sum(
            count
            for (name, region), count in self.targets.items()
            if name == service and (not regions or region in regions)
        )


WarningCheck = Callable[[CheckedConfiguration], Iterator[Fault]]

WARNING_CHECKS: dict[str, WarningCheck] = {}


def warning_check(name: str) -> Callable[[WarningCheck], WarningCheck]:
    """Registers a check whose faults are warnings."""
    return registered_in(WARNING_CHECKS, name)


def find_warnings(checked: CheckedConfiguration) -> tuple[Fault, ...]:
    """Returns what all checks find, ordered by check and object."""
    checks = WARNING_CHECKS.values()
    return tuple(chain.from_iterable(function(checked) for function in checks))


@warning_check('paths and domains')
def check_matches(checked: CheckedConfiguration) -> Iterator[Fault]:
    """Finds routes whose domain or prefix no call can have."""
    for route, _ in checked.routes():
        if not re.fullmatch(PATH_PATTERN, route.spec.path_prefix):
            yield Fault(
                route,
                'path_prefix',
                f'matches no call: no path starts with '
                f'{quote(route.spec.path_prefix)}',
                'start it with a slash, without query, fragment and blanks',
            )
        if re.fullmatch(UNMATCHED_DOMAIN_PATTERN, route.spec.domain):
            yield Fault(
                route,
                'domain',
                f'matches no call: no call is for the domain '
                f'{quote(route.spec.domain)}',
                'write it in lower case and without a port',
            )


@warning_check('hidden routes')
def check_hidden(checked: CheckedConfiguration) -> Iterator[Fault]:
    """Finds routes of which another route gets all paths below the prefix."""
    for route, _ in checked.routes():
        spec = route.spec
        below = f'{spec.path_prefix}/'
        # A longer prefix comes first, with the route's domain or without one.
        names = chain.from_iterable(
            checked.table.names_by_prefix.get((domain, below), ())
            for domain in dict.fromkeys((spec.domain, ''))
        )
        yield from (
            Fault(
                route,
                'path_prefix',
                f'matches only the path {quote(spec.path_prefix)}: Route '
                f'{quote(name)} hides it for all paths below',
                f'remove one of the two, or the slash that ends {quote(below)}',
            )
            for name in names
            if accepts_all(checked.table.routes[name], spec)
        )


def accepts_all(route: Route, other: Route) -> bool:
    """Returns whether a route accepts all methods of another one."""
    if not route.methods:
        return True
    return bool(other.methods) and set(route.methods) >= set(other.methods)


@warning_check('weights')
def check_weights(checked: CheckedConfiguration) -> Iterator[Fault]:
    """Finds branches that get no call, and routes with only such branches."""
    for branch in checked.of_kind(Branch.__name__):
        if not branch.spec.weight:
            yield Fault(
                branch,
                'weight',
                f'gets no call of Route {quote(branch.spec.route)}: its '
                'weight is 0',
                'raise the weight or remove the branch',
            )
    for route, _ in checked.routes():
        shares = checked.table.branches.get(route.name, ())
        if shares and not any(share.weight for share in shares):
            yield Fault(
                route,
                'service',
                f'Service {quote(route.spec.service)} gets all calls, since '
                'all branches have the weight 0',
                'raise a weight or remove the branches',
            )


@warning_check('unused services')
def check_services(checked: CheckedConfiguration) -> Iterator[Fault]:
    """Finds services without routes or targets."""
    used = frozenset(
        chain.from_iterable(
            checked.services_of(route) for route, _ in checked.routes()
        )
    )
    for service in checked.of_kind('Service'):
        if service.name not in used:
            yield Fault(
                service,
                '',
                'gets no calls: no Route sends calls to it',
                'add a Route or remove the Service',
            )
        if checked.count_targets(service.name) == 0:
            yield Fault(
                service,
                '',
                'no target runs it',
                'start targets before calls are sent to it',
            )


@warning_check('regions')
def check_regions(checked: CheckedConfiguration) -> Iterator[Fault]:
    """Finds regions without targets, of a service or at all."""
    counts = checked.targets
    if counts is None:
        return
    present = {region for (_, region), count in counts.items() if count}
    for region in checked.of_kind('Region'):
        if region.name not in present:
            yield Fault(
                region,
                '',
                'has no targets',
                'start targets in it or remove the Region',
            )
    declared = checked.of_kind('Service') if checked.declares_regions else ()
    for service in declared:
        yield from (
            Fault(
                service,
                'regions',
                f'no target runs it in Region {quote(name)}',
                'start targets there or remove the region from the Service',
            )
            for name in service.spec.regions
            if not counts.get((service.name, name)) and name in present
        )


@warning_check('allowed regions')
def check_allowed_regions(checked: CheckedConfiguration) -> Iterator[Fault]:
    """Finds regions that a route allows and its service has no targets in."""
    for route, _ in checked.routes():
        yield from (
            Fault(
                route,
                'allowed_regions',
                f'Service {quote(service)} has no targets in Region '
                f'{quote(region)}, which the route allows',
                'start targets there or remove the region from the Route',
            )
            for service in sorted(checked.services_of(route))
            for region in route.spec.allowed_regions
            if lacks_targets(checked, service, region)
        )


def lacks_targets(
    checked: CheckedConfiguration, service: str, region: str
) -> bool:
    """Returns whether a service is known to have no targets in a region."""
    if checked.targets is not None:
        return not checked.targets.get((service, region))
    regions = checked.table.services[service].regions
    return checked.declares_regions and region not in regions


@warning_check('times')
def check_times(checked: CheckedConfiguration) -> Iterator[Fault]:
    """Finds timeouts that contradict other times."""
    for route, policy in checked.routes():
        timeout_ms, latency_ms = policy.timeout_ms, policy.target_latency_ms
        if timeout_ms < latency_ms:
            yield Fault(
                route,
                'policy',
                f'the timeout of {timeout_ms} ms is shorter than the target '
                f'latency of {latency_ms} ms',
                'raise the timeout or lower the target latency',
            )
        elif policy.hedge_ms >= timeout_ms:
            yield Fault(
                route,
                'policy',
                f'no call is hedged: hedges start after {policy.hedge_ms} ms, '
                f'and calls end after {timeout_ms} ms',
                'lower hedge_ms or raise the timeout',
            )
        if checked.grace_ms is not None and timeout_ms > checked.grace_ms:
            yield Fault(
                route,
                'policy',
                f'the timeout of {timeout_ms} ms is longer than the grace '
                f'time of {checked.grace_ms:.0f} ms, so that stopping daemons '
                'refuse calls early',
                'lower the timeout or raise the grace time',
            )


@warning_check('attempts')
def check_attempts(checked: CheckedConfiguration) -> Iterator[Fault]:
    """Finds routes whose calls can't be attempted as often as allowed."""
    for route, policy in checked.routes():
        if policy.max_attempts > 1 and not policy.retry_percent:
            yield Fault(
                route,
                'policy',
                f'{policy.max_attempts} attempts are allowed, but 0 percent '
                'of retries',
                'raise retry_percent or allow one attempt',
            )
        for service in sorted(checked.services_of(route)):
            regions = route.spec.allowed_regions
            count = checked.count_targets(service, regions)
            if count and policy.max_attempts > count:
                yield Fault(
                    route,
                    'policy',
                    f'{policy.max_attempts} attempts are allowed, but Service '
                    f'{quote(service)} has targets: {count}',
                    'allow fewer attempts or start more targets',
                )
