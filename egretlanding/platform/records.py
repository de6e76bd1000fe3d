"""Decodes the records that operators and targets write to the store."""

import itertools
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Annotated

import attrs
import msgspec

from egretlanding.durations import milliseconds
from egretlanding.entrychecks import find_entry_faults, parse_endpoint
from egretlanding.exceptions import PlatformError
from egretlanding.httpmessages import HttpLimits
from egretlanding.objects import (
    Branch,
    ConfigObject,
    IdempotencyRule,
    Policy,
    Region,
    Route,
    Service,
    WorkClass,
)
from egretlanding.platform.names import (
    CONFIG_KEY,
    ENTRY_PREFIX,
    EVACUATION_PREFIX,
)
from egretlanding.publication import Publication
from egretlanding.records import Record
from egretlanding.roster import TargetEntry
from egretlanding.sidecarconfig import SidecarConfig
from egretlanding.texts import printable

MS_PER_S = 1_000
# An idempotent request is hedged no earlier than after the target latency of
# its route divided by this.
HEDGE_DIVISOR = 1
# The kind of a route whose requests may run more than once.
IDEMPOTENT_KIND = 'safe'
DRAINING_STATE = 'draining'
KNOWN_STATES = frozenset(('ready', DRAINING_STATE))
# The whole that the services of a route share, parts.
WEIGHT_PARTS = 1_000_000
# Values that are nested too deep exhaust the decoder's stack.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, TypeError, RecursionError)
# Most bytes of an entry; targets write a few hundred.
MAX_ENTRY_BYTES = 65_536
# Most characters of an error of the decoder that are logged.
MAX_ERROR_CHARS = 200
# Durations in entries, which also other writers may have written.
DURATION_PATTERN = r'^[0-9]{1,9}(\.[0-9]{1,18})?(ms|s)$'


class WeightedService(msgspec.Struct, rename='kebab'):
    """One of several services that share a route.

    Attributes:
        service: Name of the service.
        weight: Its share, relative to the others; not always whole.
    """

    service: str
    weight: float


class RouteBody(msgspec.Struct, rename='kebab'):
    """A route as the operator writes it.

    Attributes:
        host: The domain name in the request's URL, not a host of the fleet.
        prefix: Prefix of the path; ends with a slash.
        route_kind: `safe` if requests may run more than once.
        timeout: Longest time that a caller waits, a duration with its unit.
        target_latency: Time within which an answer is worth most, a duration
            with its unit. It is a goal, not the latency of a target.
        priority: Rank, 0 is the highest.
        max_attempts: Most targets that one request is sent to.
        service: Name of the service, empty if several share the route.
        weighted_services: The services that share the route.
        allowed_regions: The regions that its requests may be served in, empty
            for all.
    """

    host: str
    prefix: str
    route_kind: str
    timeout: str
    target_latency: str = '0ms'
    priority: int = 0
    max_attempts: int = 1
    service: str = ''
    weighted_services: list[WeightedService] = []
    allowed_regions: list[str] = []


class ServiceBody(msgspec.Struct, rename='kebab'):
    """A service as the operator writes it.

    Attributes:
        max_connections: Connections that one target accepts.
        health_path: Path at which a target answers health checks.
        cold_start: Time that a target stays cold after its start, a duration
            with its unit.
        cold_per_s: Requests a second that a cold target takes, zero if it
            needs no limit.
    """

    max_connections: int = 100
    health_path: str = ''
    cold_start: str = '0ms'
    cold_per_s: float = 0


class LimitsBody(msgspec.Struct, rename='kebab'):
    """Limits on what callers may send.

    Attributes:
        max_header_bytes: Most bytes of the headers.
        max_body_bytes: Most bytes of the body.
        header_timeout: Longest time for the headers.
        idle_timeout: Longest time between two requests.
    """

    max_header_bytes: int = 65_536
    max_body_bytes: int = 1_048_576
    header_timeout: str = '30s'
    idle_timeout: str = '600s'


class ConfigBody(msgspec.Struct, rename='kebab'):
    """The whole configuration as the operator writes it.

    Attributes:
        version: Its number, greater than those of earlier ones.
        routes: The routes by name.
        services: The services by name.
        limits: Limits on what callers may send.
    """

    version: int
    routes: dict[str, RouteBody]
    services: dict[str, ServiceBody]
    limits: LimitsBody = msgspec.field(default_factory=LimitsBody)


class EntryInfo(msgspec.Struct, rename='kebab'):
    """The properties that don't change while a target runs.

    Attributes:
        service: Name of its service.
        zone: Name of its failure domain.
        slots: Requests that it can run at the same time.
    """

    service: str
    zone: str
    slots: int


class EntryStatus(msgspec.Struct, rename='kebab'):
    """The properties that change while a target runs.

    Attributes:
        state: `ready` if it takes new requests, `draining` if not.
        sequence: Number of the entry among those of the target's process.
        cold_remaining: How much longer the target stays cold, a duration with
            its unit.
    """

    state: str
    sequence: int = 0
    cold_remaining: Annotated[str, msgspec.Meta(pattern=DURATION_PATTERN)] = (
        '0ms'
    )


class EntryBody(msgspec.Struct, rename='kebab'):
    """The entry that a target writes about itself.

    Attributes:
        address: IP address and port of the target.
        info: The properties that don't change.
        status: The properties that change.
        born: Start of its process, ms since the epoch.
    """

    address: str
    info: EntryInfo
    status: EntryStatus
    born: int = 0


CONFIG_DECODER = msgspec.json.Decoder(ConfigBody)
ENTRY_DECODER = msgspec.json.Decoder(EntryBody)


@attrs.frozen
class BuiltRoute:
    """A route of a configuration and the objects made from it.

    Attributes:
        name: Name of the route.
        body: The route as the operator wrote it.
        policy_name: Name of its policy.
        policy: Time limits and retries of its requests.
        objects: The objects without the policy, which routes may share.
    """

    name: str
    body: RouteBody
    policy_name: str
    policy: Policy
    objects: tuple[ConfigObject, ...]


@attrs.frozen
class RecordDecoder:
    """Decodes the records of the store.

    Attributes:
        regions: The region of each failure domain.
        retry_percent: Retries allowed per hundred requests, percent.
        cold_start_ms: Time that a new target needs to reach full speed, ms.
        queue_limit: Most calls in the queue of one target.
        wall: Returns the time since the epoch, seconds.
        route_cache: The routes of the last configuration, by name.
    """

    regions: Mapping[str, str]
    retry_percent: int
    cold_start_ms: int
    queue_limit: int
    wall: Callable[[], float] = time.time
    route_cache: dict[str, BuiltRoute] = attrs.field(factory=dict, eq=False)

    @classmethod
    def from_config(cls, config: SidecarConfig) -> 'RecordDecoder':
        """Builds the decoder that a daemon with these settings has."""
        return cls(
            config.region_of,
            config.retry_percent,
            config.cold_start_ms,
            config.queue_limit,
        )

    def is_publication(self, record: Record) -> bool:
        """Returns whether a record holds the configuration."""
        return record.key == CONFIG_KEY

    def target_of_entry(self, record: Record) -> str:
        """Returns the target whose entry a record is, or an empty string."""
        if not record.key.startswith(ENTRY_PREFIX):
            return ''
        return record.key.removeprefix(ENTRY_PREFIX)

    def domain_of_evacuation(self, record: Record) -> str:
        """Returns the failure domain whose evacuation a record is, or ''."""
        if not record.key.startswith(EVACUATION_PREFIX):
            return ''
        domain = record.key.removeprefix(EVACUATION_PREFIX)
        return domain if domain in self.regions else ''

    def decode_publication(self, record: Record) -> Publication:
        """Decodes the configuration.

        Raises:
            PlatformError: The record can't be decoded.
        """
        try:
            body = CONFIG_DECODER.decode(record.content)
            return Publication(
                body.version,
                record.revision,
                tuple(self.objects_of(body)),
                decode_limits(body.limits),
            )
        except DECODE_ERRORS as error:
            raise PlatformError(
                f'cannot decode the configuration ({error})',
                'publish one in the format that the platform documents',
            ) from error

    def decode_entry(self, record: Record) -> TargetEntry:
        """Decodes the entry of a target.

        Raises:
            PlatformError: It can't be decoded or names no target that can be
                used.
        """
        try:
            entry = self.build_entry(record)
        except DECODE_ERRORS as error:
            raise refused_entry(record, str(error)) from error
        wall_ms = int(self.wall() * MS_PER_S)
        faults = tuple(find_entry_faults(entry, wall_ms))
        if faults:
            raise refused_entry(record, faults[0])
        return entry

    def build_entry(self, record: Record) -> TargetEntry:
        """Builds the entry of a target from a record.

        Raises:
            ValueError: The record is too long, or a field has no usable value.
            RecursionError: Its values are nested too deep.
        """
        if len(record.content) > MAX_ENTRY_BYTES:
            raise ValueError(f'it is longer than {MAX_ENTRY_BYTES} bytes')
        body = ENTRY_DECODER.decode(record.content)
        if body.status.state not in KNOWN_STATES:
            raise ValueError('its state is unknown')
        address, port = parse_endpoint(body.address)
        return TargetEntry(
            instance=self.target_of_entry(record),
            address=address,
            port=port,
            service=body.info.service,
            region=self.regions.get(body.info.zone, ''),
            failure_domain=body.info.zone,
            slots=body.info.slots,
            draining=body.status.state == DRAINING_STATE,
            born_ms=body.born,
            sequence=body.status.sequence,
            cold_ms=milliseconds(body.status.cold_remaining),
        )

    def objects_of(self, body: ConfigBody) -> Iterator[ConfigObject]:
        """Returns the objects of a configuration, which refer to each other."""
        allowed = (route.allowed_regions for route in body.routes.values())
        named = set(itertools.chain(self.regions.values(), *allowed))
        for region in named:
            domains = tuple(
                domain
                for domain, name in self.regions.items()
                if name == region
            )
            spec = Region(failure_domains=domains)
            yield ConfigObject('Region', region, spec)
        for name, service in body.services.items():
            yield ConfigObject('Service', name, self.service_of(service))
        yield from self.routes_of(body)

    def routes_of(self, body: ConfigBody) -> Iterator[ConfigObject]:
        """Returns the routes of a configuration and the objects for them."""
        routes = list(itertools.starmap(self.build_route, body.routes.items()))
        self.route_cache.clear()
        self.route_cache.update((route.name, route) for route in routes)
        policies = {route.policy_name: route.policy for route in routes}
        for policy_name, policy in policies.items():
            yield ConfigObject('Policy', policy_name, policy)
        for built_route in routes:
            yield from built_route.objects

    def build_route(self, name: str, body: RouteBody) -> BuiltRoute:
        """Builds a route, or returns the cached one if it did not change."""
        cached = self.route_cache.get(name)
        if cached and cached.body == body:
            return cached
        policy = self.policy_of(body)
        policy_name = name_policy(policy)
        objects = tuple(self.route_objects(name, body, policy_name))
        return BuiltRoute(name, body, policy_name, policy, objects)

    def route_objects(
        self,
        name: str,
        body: RouteBody,
        policy: str,
    ) -> Iterator[ConfigObject]:
        """Returns a route and the objects that refer to it."""
        parts = body.weighted_services
        route = Route(
            path_prefix=body.prefix,
            service=parts[0].service if parts else body.service,
            policy=policy,
            work=WorkClass.SHORT,
            domain=body.host.lower(),
            allowed_regions=tuple(dict.fromkeys(body.allowed_regions)),
        )
        yield ConfigObject('Route', name, route)
        repeatable = body.route_kind == IDEMPOTENT_KIND
        rule = IdempotencyRule(route=name, idempotent=repeatable)
        yield ConfigObject('IdempotencyRule', name, rule)
        weights = whole_weights(parts)
        for number, (part, weight) in enumerate(
            zip(parts, weights, strict=True)
        ):
            branch = Branch(route=name, service=part.service, weight=weight)
            yield ConfigObject('Branch', f'{name}-{number}', branch)

    def service_of(self, body: ServiceBody) -> Service:
        """Returns the object of a service."""
        service = Service(
            regions=tuple(sorted(set(self.regions.values()))),
            connections=body.max_connections,
            queue_limit=self.queue_limit,
            cold_start_ms=self.cold_start_ms,
        )
        if not body.cold_per_s:
            return service
        return attrs.evolve(
            service,
            cold_start_ms=milliseconds(body.cold_start),
            cold_calls_per_s=body.cold_per_s,
            health_path=body.health_path,
        )

    def policy_of(self, route: RouteBody) -> Policy:
        """Returns the time limits and retries of a route's requests."""
        return Policy(
            timeout_ms=milliseconds(route.timeout),
            max_attempts=route.max_attempts,
            retry_percent=self.retry_percent,
            hedge_ms=milliseconds(route.target_latency) // HEDGE_DIVISOR,
            target_latency_ms=milliseconds(route.target_latency),
            priority=route.priority,
        )


def refused_entry(record: Record, fault: str) -> PlatformError:
    """Returns the error that says why an entry is refused."""
    return PlatformError(
        f'the entry {printable(record.key)} names no target '
        f'({printable(fault, MAX_ERROR_CHARS)})',
        'find out who wrote it; targets write their own entries',
    )


def whole_weights(parts: Iterable[WeightedService]) -> list[int]:
    """Returns whole weights in the proportions of those written."""
    weights = [part.weight for part in parts]
    total = sum(weights) or 1
    return [round(weight / total * WEIGHT_PARTS) for weight in weights]


def name_policy(policy: Policy) -> str:
    """Returns the name of a policy; equal policies get the same name."""
    values = (
        policy.timeout_ms,
        policy.target_latency_ms,
        policy.max_attempts,
        policy.priority,
    )
    return '-'.join(('timing', *map(str, values)))


def decode_limits(body: LimitsBody) -> HttpLimits:
    """Returns the limits on what callers may send."""
    return HttpLimits(
        header_bytes=body.max_header_bytes,
        body_bytes=body.max_body_bytes,
        header_s=milliseconds(body.header_timeout) / MS_PER_S,
        idle_s=milliseconds(body.idle_timeout) / MS_PER_S,
    )
