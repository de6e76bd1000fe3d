"""The route, policy and idempotency that a call has under a release."""

import itertools
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from egretlanding.objects import (
    Branch,
    IdempotencyRule,
    Policy,
    Route,
    Service,
)
from egretlanding.release import Release

ROOT = '/'

PolicyResolver = Callable[[Release, str], Policy]


@attrs.frozen
class Explanation:
    """Why a call is treated as it is, for `egretlanding explain`.

    Attributes:
        method: The call's method.
        path: The call's path.
        release: Number of the release that was asked.
        route: Name of the route that matched, or empty.
        rule: Name of the idempotency rule that decided, or empty.
        reasons: The steps of the decision, in order.
    """

    method: str
    path: str
    release: int
    route: str = ''
    rule: str = ''
    reasons: tuple[str, ...] = ()


@attrs.frozen
class Match:
    """What a release says of a call.

    Attributes:
        route_name: Name of the route.
        route: The route.
        policy: The effective policy.
        service_name: Name of the service that runs the call.
        service: The service.
        idempotent: Whether the call may run more than once.
        rule_name: Name of the idempotency rule that says so, or empty.
    """

    route_name: str
    route: Route
    policy: Policy
    service_name: str
    service: Service
    idempotent: bool
    rule_name: str


@attrs.frozen
class NamedRule:
    """An idempotency rule with its name.

    Attributes:
        name: The name.
        rule: The rule.
    """

    name: str
    rule: IdempotencyRule


@attrs.frozen
class RouteTable:
    """The routes of one release, ready for matching.

    Attributes:
        release: Number of the release.
        by_prefix: Names of the routes by domain and path prefix, in order
            of name.
        prefix_lengths: Lengths of the prefixes, greatest first.
        routes: The routes by name.
        rules: The idempotency rules by the name of their route.
        policies: The effective policies by name.
        services: The services by name.
        branches: The services that share the calls of a route, by route.
    """

    release: int
    by_prefix: Mapping[tuple[str, str], tuple[str, ...]]
    prefix_lengths: tuple[int, ...]
    routes: Mapping[str, Route]
    rules: Mapping[str, tuple[NamedRule, ...]]
    policies: Mapping[str, Policy]
    services: Mapping[str, Service]
    branches: Mapping[str, tuple[Branch, ...]] = attrs.field(factory=dict)

    @classmethod
    def from_release(
        cls,
        release: Release,
        resolve: PolicyResolver,
    ) -> 'RouteTable':
        """Indexes the routes of a checked release.

        Args:
            release: The release; all links must resolve.
            resolve: Returns the effective policy of a name.
        """
        routes: dict[str, Route] = _specs(release, 'Route')
        rules: dict[str, IdempotencyRule] = _specs(release, 'IdempotencyRule')
        return cls(
            release=release.number,
            by_prefix=_by_prefix(routes),
            prefix_lengths=tuple(
                sorted(
                    {len(route.path_prefix) for route in routes.values()},
                    reverse=True,
                ),
            ),
            routes=routes,
            rules=_rules_by_route(routes, rules),
            policies=_policies_of(release, routes, resolve),
            services=_specs(release, 'Service'),
            branches=_branches_of(release),
        )

    def match(
        self,
        method: str,
        path: str,
        domain: str = '',
    ) -> Match | None:
        """Finds the route of a call: the longest prefix that takes it.

        Of two routes with one prefix, the one that names the domain wins,
        then the one that names the method.

        Args:
            method: The HTTP method, in capitals.
            path: The path, with or without a query.
            domain: The domain name that the call was sent to, in lower case.

        Returns:
            What the release says of the call, or None without a route.
        """
        name = self.find_route(method, path.partition('?')[0], domain)
        if name is None:
            return None
        route = self.routes[name]
        deciding = self.deciding_rule(name, method)
        return Match(
            route_name=name,
            route=route,
            policy=self.policies[route.policy],
            service_name=route.service,
            service=self.services[route.service],
            idempotent=deciding is not None and deciding.rule.idempotent,
            rule_name='' if deciding is None else deciding.name,
        )

    def find_route(
        self,
        method: str,
        path: str,
        domain: str = '',
    ) -> str | None:
        """Returns the name of the route that takes a call, or None."""
        fitting = (
            path[:length]
            for length in self.prefix_lengths
            if _ends_segment(path, length)
        )
        taken = itertools.product(fitting, dict.fromkeys((domain, '')))
        candidates = itertools.chain.from_iterable(
            self._by_method(method, (each, prefix)) for prefix, each in taken
        )
        return next(candidates, None)

    def deciding_rule(self, route: str, method: str) -> NamedRule | None:
        """Returns the rule that says whether a call is idempotent.

        Rules that name the method come before rules for all methods. Where
        rules of one rank contradict each other, the non-idempotent one wins.

        Args:
            route: Name of the route.
            method: The HTTP method.

        Returns:
            The rule, or None if no rule covers the call.
        """
        covering = [
            named
            for named in self.rules[route]
            if not named.rule.methods or method in named.rule.methods
        ]
        return min(
            covering,
            key=lambda named: (
                not named.rule.methods,
                named.rule.idempotent,
                named.name,
            ),
            default=None,
        )

    def explain(self, method: str, path: str) -> Explanation:
        """Says why a call is treated as it is."""
        match = self.match(method, path)
        if match is None:
            return Explanation(
                method,
                path,
                self.release,
                reasons=(
                    'no Route has a path_prefix and methods that take the call',
                ),
            )
        return Explanation(
            method,
            path,
            self.release,
            route=match.route_name,
            rule=match.rule_name,
            reasons=_reasons(match),
        )

    def _by_method(self, method: str, taken: tuple[str, str]) -> list[str]:
        taking = [
            name
            for name in self.by_prefix.get(taken, ())
            if not self.routes[name].methods
            or method in self.routes[name].methods
        ]
        return sorted(taking, key=lambda name: not self.routes[name].methods)


def _ends_segment(path: str, length: int) -> bool:
    # "/stock" takes "/stock" and "/stock/7", but not "/stocks".
    rest = path[length:]
    return len(path) >= length and (
        path[length - 1] == ROOT or not rest or rest.startswith(ROOT)
    )


def _by_prefix(
    routes: Mapping[str, Route],
) -> dict[tuple[str, str], tuple[str, ...]]:
    grouped: dict[tuple[str, str], list[str]] = {}
    for name, route in routes.items():
        key = (route.domain, route.path_prefix)
        grouped.setdefault(key, []).append(name)
    return {key: tuple(names) for key, names in grouped.items()}


def _policies_of(
    release: Release,
    routes: Mapping[str, Route],
    resolve: PolicyResolver,
) -> dict[str, Policy]:
    used = {route.policy for route in routes.values()}
    return {policy: resolve(release, policy) for policy in used}


def _rules_by_route(
    routes: Mapping[str, Route],
    rules: Mapping[str, IdempotencyRule],
) -> dict[str, tuple[NamedRule, ...]]:
    grouped: dict[str, list[NamedRule]] = {route: [] for route in routes}
    for name, rule in rules.items():
        grouped[rule.route].append(NamedRule(name, rule))
    return {route: tuple(named) for route, named in grouped.items()}


def _branches_of(release: Release) -> dict[str, tuple[Branch, ...]]:
    grouped: dict[str, list[Branch]] = {}
    for branch in _specs(release, 'Branch').values():
        grouped.setdefault(branch.route, []).append(branch)
    return {name: tuple(branches) for name, branches in grouped.items()}


def _specs(release: Release, kind: str) -> dict[str, Any]:
    return {
        name: entry.spec
        for (entry_kind, name), entry in sorted(release.objects.items())
        if entry_kind == kind
    }


def _reasons(match: Match) -> tuple[str, ...]:
    runs = 'idempotent' if match.idempotent else 'non-idempotent'
    source = match.rule_name or 'no rule, which counts as non-idempotent'
    methods = ', '.join(match.route.methods) or 'all methods'
    return (
        f'Route {match.route_name} has the longest matching path_prefix '
        f'{match.route.path_prefix} for {methods}',
        f'Service {match.service_name} runs the call',
        f'Policy {match.route.policy} allows {match.policy.timeout_ms} ms '
        f'and {match.policy.max_attempts} attempts if idempotent',
        f'the call is {runs} by {source}',
    )
