"""The configuration objects that operators declare, as typed classes."""

import enum
from collections.abc import Callable
from typing import Any, TypeVar

import attrs

from egretlanding.schema import (
    NAME_FORM,
    NAME_PATTERN,
    bounded_field,
    link,
    method_list,
    pattern_field,
)
from egretlanding.texts import printable

KINDS: dict[str, type] = {}

# Whole numbers up to here are floats without rounding.
MAX_EXACT_FLOAT = 2**53
PATH_PATTERN = r'/|(/[A-Za-z0-9._~%@:+-]{1,63}){1,8}/?'
OPTIONAL_PATH_PATTERN = f'|{PATH_PATTERN}'
PATH_FORM = 'segments that each start with a slash'
# The empty text is allowed: a route without a domain accepts all domains.
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
    """How long the calls of a route occupy a slot of a target.

    The class of learned calls is determined from measured run times.
    """

    SHORT = 'short'
    LONG = 'long'
    LEARNED = 'learned'


@kind('Region')
@attrs.frozen(kw_only=True)
class Region:
    """A group of failure domains connected by inexpensive links.

    Attributes:
        failure_domains: Names of the failure domains in the region.
        link_kbytes_per_s: Bandwidth budget for calls to other regions, kB/s.
    """

    failure_domains: tuple[str, ...] = pattern_field(NAME_PATTERN, NAME_FORM)
    link_kbytes_per_s: int = bounded_field(0, 1_000_000, 'kB/s', default=1_000)


def as_float(number: Any) -> Any:
    """Returns a whole number as a float, which has one encoded form only.

    Anything else is returned as it is, for the checks to find.
    """
    is_whole = isinstance(number, int) and not isinstance(number, bool)
    is_exact = is_whole and abs(number) <= MAX_EXACT_FLOAT
    return float(number) if is_exact else number


@kind('Service')
@attrs.frozen(kw_only=True)
class Service:
    """A set of interchangeable targets.

    Attributes:
        regions: Names of the regions in which the service runs.
        slots: Calls that one target runs concurrently.
        connections: Connections that one target accepts.
        queue_limit: Calls that may be queued for one target.
        cold_start_ms: Time over which the share of calls that a new target
            gets is ramped up, ms.
        cold_calls_per_s: Calls a second that a target takes from all hosts
            together while it is cold after its start; zero for no limit.
        health_path: Path at which a target answers health checks, empty if it
            has none.
    """

    regions: tuple[str, ...] = link('Region')
    slots: int = bounded_field(1, 1_024, 'slots', default=6)
    connections: int = bounded_field(1, 65_535, 'connections', default=120)
    queue_limit: int = bounded_field(0, 10_000, 'calls', default=64)
    cold_start_ms: int = bounded_field(0, 600_000, 'ms', default=5_000)
    cold_calls_per_s: float = bounded_field(
        0, 1_000_000, 'calls a second', default=0, converter=as_float
    )
    health_path: str = pattern_field(
        OPTIONAL_PATH_PATTERN, PATH_FORM, default=''
    )


@kind('Policy')
@attrs.frozen(kw_only=True)
class Policy:
    """Timeouts, retries and hedging of the calls of a route.

    Attributes:
        extends: Name of the policy whose fields this one inherits. In a
            compiled release the inherited values are written out and this
            field is empty.
        timeout_ms: Time until the deadline of a call that specifies none, ms.
        max_attempts: Maximum number of attempts for an idempotent call,
            the first included.
        retry_percent: Retries allowed per hundred first attempts, percent.
        hedge_ms: Delay before a second attempt of an idempotent call, ms;
            zero disables hedging.
        short_wait_ms: Longest wait of a short call behind long ones, ms.
        target_latency_ms: Time within which an answer has its full value,
            ms; zero if there is no such time.
        priority: Order in which calls are served if not all can be, 0
            first.
    """

    extends: str = link('Policy', default='')
    timeout_ms: int = bounded_field(1, 3_600_000, 'ms', default=1_000)
    max_attempts: int = bounded_field(1, 5, 'attempts', default=2)
    retry_percent: int = bounded_field(0, 100, 'percent', default=10)
    hedge_ms: int = bounded_field(0, 60_000, 'ms', default=0)
    short_wait_ms: int = bounded_field(1, 60_000, 'ms', default=50)
    target_latency_ms: int = bounded_field(0, 3_600_000, 'ms', default=0)
    priority: int = bounded_field(0, 1_000, 'rank', default=0)


@kind('Route')
@attrs.frozen(kw_only=True)
class Route:
    """Sends calls whose path starts with a prefix to a service.

    A prefix matches whole segments: `/stock` matches `/stock/7`, but not
    `/stocks`. A prefix that ends in a slash matches only paths below it.
    Of the routes that accept a call's domain and method, the one with the
    longest prefix is used.

    Attributes:
        path_prefix: The prefix, starting with a slash.
        service: Name of the service that runs the calls.
        policy: Name of the policy that applies.
        methods: HTTP methods that the route accepts; empty means all.
        work: The work class of the calls.
        domain: Domain name that the calls are sent to; empty means all.
        allowed_regions: Names of the regions whose targets may run the calls;
            empty means all. Request bodies stay within them too.
    """

    path_prefix: str = pattern_field(PATH_PATTERN, PATH_FORM)
    service: str = link('Service')
    policy: str = link('Policy')
    methods: tuple[str, ...] = method_list()
    work: WorkClass = WorkClass.LEARNED
    domain: str = pattern_field(DOMAIN_PATTERN, DOMAIN_FORM, default='')
    allowed_regions: tuple[str, ...] = link('Region', default=())


@kind('Branch')
@attrs.frozen(kw_only=True)
class Branch:
    """Sends a share of a route's calls to one of several services.

    A route with branches divides its calls among the services of the
    branches in proportion to their weights. A route without branches sends
    all calls to its own service.

    Attributes:
        route: Name of the route.
        service: Name of the service that gets the share.
        weight: The share, relative to the other branches of the route.
    """

    route: str = link('Route')
    service: str = link('Service')
    weight: int = bounded_field(0, 1_000_000, 'parts', default=1)


@kind('IdempotencyRule')
@attrs.frozen(kw_only=True)
class IdempotencyRule:
    """Declares which calls of a route may run more than once.

    Calls without a rule are treated as non-idempotent.

    Attributes:
        route: Name of the route.
        idempotent: Whether it is harmless to run such a call repeatedly.
        methods: HTTP methods that the rule applies to; empty means all.
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
        spec: The spec, an instance of the kind's class.
    """

    kind: str
    name: str
    spec: Any

    def label(self) -> str:
        """Returns kind and name in the form used in error messages."""
        return f'{self.kind} {printable(self.name)}'
