"""Finds the route, policy and idempotency rule of a call in a release."""

import itertools
import random
from collections import defaultdict
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
from egretlanding.residency import must_leave

ROOT = '/'

PolicyResolver = Callable[[Release, str], Policy]


@attrs.frozen
class Explanation:
    """Why a call is treated as it is, for `egretlanding explain`.

    Attributes:
        method: The call's method.
        path: The call's path.
        release: Number of the release that the decision is based on.
        route: Name of the route that matched, or empty.
        rule: Name of the idempotency rule that applied, or empty.
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
    """The route of a call, with all that the release configures for it.

    Attributes:
        route_name: Name of the route.
        route: The route.
        policy: The effective policy.
        service_name: Name of the service that runs the call.
        service: The service.
        idempotent: Whether the call may run more than once.
        rule_name: Name of the idempotency rule that applied, or empty.
    """

    route_name: str
    route: Route
    policy: Policy
    service_name: str
    service: Service
    idempotent: bool
    rule_name: str

    def allows_region(self, region: str) -> bool:
        """Returns whether the route allows the call to run in a region."""
        return not must_leave(self.route.allowed_regions, region)


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
    """The routes of one release, indexed for matching.

    Attributes:
        release: Number of the release.
        names_by_prefix: Names of the routes by domain and path prefix, in
            alphabetical order.
        prefix_lengths: Lengths of the path prefixes, greatest first.
        routes: The routes by name.
        rules: The idempotency rules by route name.
        policies: The effective policies by name.
        services: The services by name.
        branches: The branches of a route, each of which gives a service a
            part of its calls, by route name.
    """

    release: int
    names_by_prefix: Mapping[tuple[str, str], tuple[str, ...]]
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
            release: The release; all names that its objects refer to must exist
                in it.
            resolve: Returns the effective policy for the name of a policy.
        """
        specs = _specs_by_kind(release)
        routes: dict[str, Route] = specs['Route']
        return cls(
            release=release.number,
            names_by_prefix=_group_by_prefix(routes),
            prefix_lengths=tuple(
                sorted(
                    {len(route.path_prefix) for route in routes.values()},
                    reverse=True,
                ),
            ),
            routes=routes,
            rules=_group_rules(routes, specs['IdempotencyRule']),
            policies=_resolve_policies(release, routes, resolve),
            services=specs['Service'],
            branches=_group_branches(specs['Branch']),
        )

    def match(
        self,
        method: str,
        path: str,
        domain: str = '',
    ) -> Match | None:
        """Finds the route of a call by its longest matching prefix.

        Among routes with the same prefix, those that name the domain come
        first, then those that name the method.

        Args:
            method: The HTTP method, in capitals.
            path: The path, with or without a query.
            domain: The domain name that the call was sent to, in lower case.

        Returns:
            The route with its configuration, or None if no route matches.
        """
        name = self.find_route(method, path.partition('?')[0], domain)
        if name is None:
            return None
        route = self.routes[name]
        named_rule = self.find_rule(name, method)
        return Match(
            route_name=name,
            route=route,
            policy=self.policies[route.policy],
            service_name=route.service,
            service=self.services[route.service],
            idempotent=named_rule is not None and named_rule.rule.idempotent,
            rule_name='' if named_rule is None else named_rule.name,
        )

    def find_route(
        self,
        method: str,
        path: str,
        domain: str = '',
    ) -> str | None:
        """Returns the name of the route that matches a call, or None."""
        matching_prefixes = (
            path[:length]
            for length in self.prefix_lengths
            if _ends_at_segment(path, length)
        )
        lookups = itertools.product(
            matching_prefixes, dict.fromkeys((domain, ''))
        )
        candidates = itertools.chain.from_iterable(
            self._names_for_method(method, (route_domain, prefix))
            for prefix, route_domain in lookups
        )
        return next(candidates, None)

    def find_rule(self, route: str, method: str) -> NamedRule | None:
        """Returns the rule that decides whether a call is idempotent.

        Rules that name the method take precedence over rules for all methods.
        If rules of equal precedence contradict each other, the non-idempotent
        one wins.

        Args:
            route: Name of the route.
            method: The HTTP method.

        Returns:
            The rule, or None if no rule matches the call.
        """
        matching_rules = [
            named
            for named in self.rules[route]
            if not named.rule.methods or method in named.rule.methods
        ]
        return min(
            matching_rules,
            key=lambda named: (
                not named.rule.methods,
                named.rule.idempotent,
                named.name,
            ),
            default=None,
        )

    def choose_branch(
        self,
        match: Match,
        branches: tuple[Branch, ...],
        rng: random.Random,
    ) -> Match:
        """Chooses one of a route's services for a call, at random by weight.

        Args:
            match: The route and service that matched the call.
            branches: The services that share the calls of the route.
            rng: Source of the random choice.

        Returns:
            The match with the chosen service, or unchanged if all weights are
            0.
        """
        weights = [branch.weight for branch in branches]
        if not any(weights):
            return match
        service = rng.choices(branches, weights)[0].service
        return attrs.evolve(
            match,
            service_name=service,
            service=self.services[service],
        )

    def explain(self, method: str, path: str) -> Explanation:
        """Returns the route and rules of a call, with the reasons."""
        match = self.match(method, path)
        if match is None:
            return Explanation(
                method,
                path,
                self.release,
                reasons=('no Route has a matching path_prefix and methods',),
            )
        return Explanation(
            method,
            path,
            self.release,
            route=match.route_name,
            rule=match.rule_name,
            reasons=_explain_match(match),
        )

    def _names_for_method(
        self, method: str, domain_and_prefix: tuple[str, str]
    ) -> list[str]:
        matching = [
            name
            for name in self.names_by_prefix.get(domain_and_prefix, ())
            if not self.routes[name].methods
            or method in self.routes[name].methods
        ]
        return sorted(matching, key=lambda name: not self.routes[name].methods)


def _ends_at_segment(path: str, length: int) -> bool:
    # The prefix "/stock" matches "/stock" and "/stock/7", not "/stocks".
    remainder = path[length:]
    return len(path) >= length and (
        path[length - 1] == ROOT or not remainder or remainder.startswith(ROOT)
    )


def _group_by_prefix(
    routes: Mapping[str, Route],
) -> dict[tuple[str, str], tuple[str, ...]]:
    grouped: dict[tuple[str, str], list[str]] = {}
    for name, route in routes.items():
        key = (route.domain, route.path_prefix)
        grouped.setdefault(key, []).append(name)
    return {key: tuple(names) for key, names in grouped.items()}


def _resolve_policies(
    release: Release,
    routes: Mapping[str, Route],
    resolve: PolicyResolver,
) -> dict[str, Policy]:
    used = {route.policy for route in routes.values()}
    return {policy: resolve(release, policy) for policy in used}


def _group_rules(
    routes: Mapping[str, Route],
    rules: Mapping[str, IdempotencyRule],
) -> dict[str, tuple[NamedRule, ...]]:
    grouped: dict[str, list[NamedRule]] = {route: [] for route in routes}
    for name, rule in rules.items():
        grouped[rule.route].append(NamedRule(name, rule))
    return {route: tuple(named) for route, named in grouped.items()}


def _group_branches(
    named_branches: Mapping[str, Branch],
) -> dict[str, tuple[Branch, ...]]:
    grouped: dict[str, list[Branch]] = {}
    for branch in named_branches.values():
        grouped.setdefault(branch.route, []).append(branch)
    return {name: tuple(branches) for name, branches in grouped.items()}


def _specs_by_kind(release: Release) -> Mapping[str, dict[str, Any]]:
    # The objects of each kind are ordered by name.
    specs: defaultdict[str, dict[str, Any]] = defaultdict(dict)
    for kind, name in sorted(release.objects):
        specs[kind][name] = release.objects[kind, name].spec
    return specs


def _explain_match(match: Match) -> tuple[str, ...]:
    idempotence = 'idempotent' if match.idempotent else 'non-idempotent'
    source = match.rule_name or 'no rule, which counts as non-idempotent'
    methods = ', '.join(match.route.methods) or 'all methods'
    regions = ', '.join(match.route.allowed_regions) or 'all regions'
    return (
        f'Route {match.route_name} has the longest matching path_prefix '
        f'{match.route.path_prefix} for {methods}',
        f'Service {match.service_name} runs the call in {regions}',
        f'Policy {match.route.policy} allows {match.policy.timeout_ms} ms '
        f'and {match.policy.max_attempts} attempts if idempotent',
        f'the call is {idempotence} according to {source}',
    )
