"""The configuration objects that operators write, as typed values."""

import enum
from collections.abc import Callable
from typing import Any, TypeVar

import attrs

from egretlanding.schema import (
    NAME_FORM,
    NAME_PATTERN,
    bounded,
    form,
    link,
    method_list,
)
from egretlanding.texts import show

KINDS: dict[str, type] = {}

PATH_PATTERN = r'/|(/[A-Za-z0-9._~%@:+-]{1,63}){1,8}/?'
PATH_FORM = 'segments that each start with a slash'
# A route without a domain takes calls to all of them.
DOMAIN_PATTERN = '|[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?'
DOMAIN_FORM = 'a domain name in lower case, without a port'

Spec = TypeVar('Spec')


def kind(name: str) -> Callable[[type[Spec]], type[Spec]]:
    """Registers the class that holds the spec of one kind of object.

    Args:
        name: The kind as operators write it.

    Returns:
        A decorator that records the class and returns it unchanged.
    """

    def register(cls: type[Spec]) -> type[Spec]:
        KINDS[name] = cls
        return cls

    return register


class WorkClass(enum.StrEnum):
    """How long the calls of a route occupy a slot of a target."""

    SHORT = 'short'
    LONG = 'long'
    LEARNED = 'learned'


@kind('Region')
@attrs.frozen(kw_only=True)
class Region:
    """A group of failure domains joined by cheap links.

    Attributes:
        failure_domains: Names of the failure domains in the region.
        link_kbytes_per_s: Budget of calls sent to other regions, kB/s.
    """

    failure_domains: tuple[str, ...] = form(NAME_PATTERN, NAME_FORM)
    link_kbytes_per_s: int = bounded(0, 1_000_000, 'kB/s', default=1_000)


@kind('Service')
@attrs.frozen(kw_only=True)
class Service:
    """A set of interchangeable targets.

    Attributes:
        regions: Names of the regions in which the service runs.
        slots: Calls that one target runs at a time.
        connections: Connections that one target accepts.
        queue_limit: Calls that may wait in front of one target.
        cold_start_ms: Time over which a new target's share ramps up, ms.
    """

    regions: tuple[str, ...] = link('Region')
    slots: int = bounded(1, 1_024, 'slots', default=6)
    connections: int = bounded(1, 65_535, 'connections', default=120)
    queue_limit: int = bounded(0, 10_000, 'calls', default=64)
    cold_start_ms: int = bounded(0, 600_000, 'ms', default=5_000)


@kind('Policy')
@attrs.frozen(kw_only=True)
class Policy:
    """How calls of a route are timed, retried and hedged.

    Attributes:
        extends: Name of the policy whose fields this one starts from. A
            compiled release has the inherited values written out, and
            empty names here.
        timeout_ms: Longest time a call may take when it names none, ms.
        max_attempts: Attempts in all for an idempotent call.
        retry_percent: Retries allowed per hundred first attempts, percent.
        hedge_ms: Wait before a second attempt of an idempotent call, ms;
            zero turns hedging off.
        short_wait_ms: Longest wait of a short call behind long ones, ms.
        target_latency_ms: Time within which an answer is worth most, ms;
            zero if the operator names none.
        priority: Rank of the calls where not all can be served, 0 first.
    """

    extends: str = link('Policy', default='')
    timeout_ms: int = bounded(1, 3_600_000, 'ms', default=1_000)
    max_attempts: int = bounded(1, 5, 'attempts', default=2)
    retry_percent: int = bounded(0, 100, 'percent', default=10)
    hedge_ms: int = bounded(0, 60_000, 'ms', default=0)
    short_wait_ms: int = bounded(1, 60_000, 'ms', default=50)
    target_latency_ms: int = bounded(0, 3_600_000, 'ms', default=0)
    priority: int = bounded(0, 1_000, 'rank', default=0)


@kind('Route')
@attrs.frozen(kw_only=True)
class Route:
    """Sends calls whose path starts with a prefix to a service.

    A prefix covers whole segments: `/stock` covers `/stock/7`, but not
    `/stocks`. A prefix that ends in a slash covers only what lies below it.
    Of the routes that take a call's domain and method, the one with the
    longest prefix gets the call.

    Attributes:
        path_prefix: The prefix, starting with a slash.
        service: Name of the service that runs the calls.
        policy: Name of the policy that applies.
        methods: HTTP methods that the route takes; empty means all.
        work: The class of work that the calls are.
        domain: Domain name that the calls are sent to; empty means all.
    """

    path_prefix: str = form(PATH_PATTERN, PATH_FORM)
    service: str = link('Service')
    policy: str = link('Policy')
    methods: tuple[str, ...] = method_list()
    work: WorkClass = WorkClass.LEARNED
    domain: str = form(DOMAIN_PATTERN, DOMAIN_FORM, default='')


@kind('Branch')
@attrs.frozen(kw_only=True)
class Branch:
    """Gives a share of a route's calls to one of several services.

    A route with branches divides its calls among their services in the
    proportions of the weights. One without sends all to its own service.

    Attributes:
        route: Name of the route.
        service: Name of the service that gets the share.
        weight: The share, relative to the other branches of the route.
    """

    route: str = link('Route')
    service: str = link('Service')
    weight: int = bounded(0, 1_000_000, 'parts', default=1)


@kind('IdempotencyRule')
@attrs.frozen(kw_only=True)
class IdempotencyRule:
    """Says which calls of a route may run more than once.

    Calls without a rule count as non-idempotent.

    Attributes:
        route: Name of the route.
        idempotent: Whether a repeated run does no harm.
        methods: HTTP methods that the rule covers; empty means all.
    """

    route: str = link('Route')
    idempotent: bool
    methods: tuple[str, ...] = method_list()


@attrs.frozen
class ConfigObject:
    """One named object of a release.

    Attributes:
        kind: The kind, a key of `KINDS`.
        name: The name, unique within its kind.
        spec: The typed spec, an instance of the kind's class.
    """

    kind: str
    name: str
    spec: Any

    def label(self) -> str:
        """Returns kind and name as error messages show them."""
        return f'{self.kind} {show(self.name)}'
