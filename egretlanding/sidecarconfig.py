"""The settings of a daemon that reads a store of records."""

from typing import Any

import attrs

from egretlanding.config import (
    ENDPOINT_FORM,
    ENDPOINT_PATTERN,
    HOST_ID_FORM,
    HOST_ID_PATTERN,
    Settings,
    ip_address,
    tcp_port,
)
from egretlanding.durations import milliseconds
from egretlanding.schema import bounded_field, choice_field, pattern_field
from egretlanding.units import PERCENT

MS_PER_S = 1_000
BYTES_PER_MB = 1_000_000
KBIT_PER_MBIT = 1_000
# Share of the allowed retries that daemons use. The rest is kept for the calls
# that a target makes while it runs a retried call: they count as retries too.
USED_RETRY_SHARE = 0.6
# The platform chooses the names of regions, failure domains and services.
GIVEN_NAME = r'[^\s=]{1,128}'
GIVEN_NAME_FORM = 'at most 128 characters without blanks and equal signs'
DOMAIN_REGION_PATTERN = f'{GIVEN_NAME}={GIVEN_NAME}'
DOMAIN_REGION_FORM = 'failure-domain=region'
# A platform that computes a value writes up to 18 decimal places of it.
RATIO_PATTERN = r'[01](\.\d{1,18})?'
RATIO_FORM = 'a share from 0 to 1, such as 0.2'
WIDTH_PATTERN = r'\d{1,7}(\.\d{1,18})?'
# A platform that doesn't know a value leaves it empty.
OPTIONAL_SIZE_PATTERN = f'|{WIDTH_PATTERN}'
WIDTH_FORM = 'a number such as 1000 or 3.5'
DURATION_PATTERN = r'\d{1,9}(\.\d{1,18})?(ms|s)'
DURATION_FORM = 'a time such as 1500ms or 2.5s'


def given_name() -> Any:
    """Declares a required field for a name that the platform chooses."""
    return pattern_field(GIVEN_NAME, GIVEN_NAME_FORM)


def port_of(text: str) -> int:
    """Returns the port of an endpoint, given as address:port."""
    return int(text.rpartition(':')[2])


@attrs.frozen(kw_only=True)
class SidecarConfig(Settings):
    """The settings of one daemon that reads a store of records.

    Attributes:
        host_id: The name of the host, as logs show it.
        address: The IP address that the daemon listens on.
        callers: Address and port for calls from callers.
        peers: Address and port for other daemons.
        readiness: Address and port for checks whether the daemon is ready.
        metrics_port: TCP port for metrics and the state dump.
        target: Address and port of the target beside the daemon.
        region: The region that the host is in.
        failure_domain: The failure domain that the host is in.
        regions: The region of each failure domain.
        service: The service that the target runs.
        store: Address and port of the store.
        seeds: Addresses and ports of daemons to contact at start.
        retry_ratio: Retries that all daemons together may make, as a share of
            the calls to a service.
        retry_slack: Retries that all daemons together may make in addition, in
            each window.
        retry_window: Window in which retries are counted.
        cold_start_ms: Time over which a new target's share ramps up, ms.
        queue_limit: Number of calls that may be queued for the target.
        balancing: How targets are chosen; "random" is a baseline for
            measurements only.
        target_check: How the daemon checks whether the target accepts calls:
            "report" asks the target, "connect" opens a connection after a
            call was lost.
        grace: Time that the daemon has to stop before it is killed.
        link_mbps: Width of the host's link in Mbit/s, 0 if unknown.
        evacuations: "on" if operators may evacuate failure domains; these are
            then read from the store with the configuration. Empty is off.
        memory_mb: Memory that the daemon may take in MB, 0 or empty if
            unknown. It bounds the bytes that are held for requests and
            answers, to 1 GiB if it is unknown. It is read at the start only.
        learned_limits: Whether the number of calls that targets take well and
            their speed are learned, and calls sent by them.
        fair_shares: Whether each route gets a guaranteed part of a target
            that is overloaded. It is read at the start only.
        silent_targets: Whether calls that a target leaves unanswered are
            detected early, retried elsewhere where they may be repeated, and
            count against the target.
        target_inflight_mb: Bytes that the bodies of the requests in flight at
            the target may have together in MB, 0 or empty for no bound. One
            request alone is always let through; others wait as without a
            slot. It is read at the start only.
    """

    host_id: str = pattern_field(HOST_ID_PATTERN, HOST_ID_FORM)
    address: str = ip_address()
    callers: str = pattern_field(ENDPOINT_PATTERN, ENDPOINT_FORM)
    peers: str = pattern_field(ENDPOINT_PATTERN, ENDPOINT_FORM)
    readiness: str = pattern_field(ENDPOINT_PATTERN, ENDPOINT_FORM)
    metrics_port: int = tcp_port()
    target: str = pattern_field(ENDPOINT_PATTERN, ENDPOINT_FORM)
    region: str = given_name()
    failure_domain: str = given_name()
    regions: tuple[str, ...] = pattern_field(
        DOMAIN_REGION_PATTERN, DOMAIN_REGION_FORM
    )
    service: str = given_name()
    store: str = pattern_field(ENDPOINT_PATTERN, ENDPOINT_FORM)
    seeds: tuple[str, ...] = pattern_field(
        ENDPOINT_PATTERN, ENDPOINT_FORM, default=()
    )
    retry_ratio: str = pattern_field(RATIO_PATTERN, RATIO_FORM, default='0.1')
    retry_slack: float = bounded_field(0, 1_000_000, 'retries', default=0)
    retry_window: str = pattern_field(
        DURATION_PATTERN, DURATION_FORM, default='10s'
    )
    cold_start_ms: int = bounded_field(0, 600_000, 'ms', default=3_000)
    queue_limit: int = bounded_field(0, 10_000, 'calls', default=64)
    balancing: str = choice_field(('near', 'p2c', 'random'), default='near')
    target_check: str = choice_field(('report', 'connect'), default='connect')
    grace: str = pattern_field(DURATION_PATTERN, DURATION_FORM, default='6s')
    link_mbps: str = pattern_field(WIDTH_PATTERN, WIDTH_FORM, default='0')
    evacuations: str = choice_field(('on', 'off', ''), default='off')
    memory_mb: str = pattern_field(
        OPTIONAL_SIZE_PATTERN, WIDTH_FORM, default='0'
    )
    learned_limits: str = choice_field(('off', 'on'), default='off')
    fair_shares: str = choice_field(('off', 'on'), default='off')
    silent_targets: str = choice_field(('off', 'on'), default='off')
    target_inflight_mb: str = pattern_field(
        OPTIONAL_SIZE_PATTERN, WIDTH_FORM, default='0'
    )

    @property
    def call_port(self) -> int:
        """TCP port for calls from callers."""
        return port_of(self.callers)

    @property
    def peer_port(self) -> int:
        """TCP port for calls from other daemons."""
        return port_of(self.peers)

    @property
    def target_address(self) -> str:
        """IP address of the target beside the daemon."""
        return self.target.rpartition(':')[0]

    @property
    def target_port(self) -> int:
        """TCP port of the target beside the daemon."""
        return port_of(self.target)

    @property
    def region_of(self) -> dict[str, str]:
        """The region of each failure domain."""
        pairs = (pair.partition('=') for pair in self.regions)
        return {domain: region for domain, _, region in pairs}

    @property
    def grace_s(self) -> float:
        """Time that the daemon has to stop, seconds."""
        return milliseconds(self.grace) / MS_PER_S

    @property
    def link_kbps(self) -> int:
        """Width of the host's link, kbit/s; 0 if unknown."""
        return int(float(self.link_mbps) * KBIT_PER_MBIT)

    @property
    def memory_bytes(self) -> int:
        """Memory that the daemon may take, bytes; 0 if unknown."""
        return int(float(self.memory_mb or 0) * BYTES_PER_MB)

    @property
    def target_inflight_bytes(self) -> int:
        """Bytes of bodies in flight at the target, 0 for no bound."""
        return int(float(self.target_inflight_mb or 0) * BYTES_PER_MB)

    @property
    def retry_percent(self) -> int:
        """Retries that the daemon may make per hundred calls."""
        return int(float(self.retry_ratio) * PERCENT * USED_RETRY_SHARE)
