"""The hosts of the mesh and the platform's list of them."""

import enum

import attrs


class HostState(enum.StrEnum):
    """The state of a host as the platform reports it."""

    LIVE = 'live'
    LEAVING = 'leaving'
    EVACUATED = 'evacuated'


@attrs.frozen
class Host:
    """One host: a target and the daemon beside it.

    Attributes:
        host_id: Id of the host, unique in the mesh.
        address: Its IP address.
        call_port: TCP port of the daemon for calls from callers (HTTP).
        peer_port: TCP port of the daemon for calls from other daemons.
        exchange_port: TCP port of the daemon for control exchanges (gRPC).
        region: The region that the host is in.
        failure_domain: The failure domain that the host is in.
        service: The service that its target runs.
        state: Whether the host is live or leaving, or its failure domain is
            evacuated, so that its target gets no calls.
        instance: Id of its target's process, empty if unknown.
        slots: Calls that its target runs at a time; zero if the
            service's setting applies.
        born_ms: When the target's process started, ms since the epoch, zero
            if unknown.
    """

    host_id: str
    address: str
    call_port: int
    peer_port: int
    exchange_port: int
    region: str
    failure_domain: str
    service: str
    state: HostState = HostState.LIVE
    instance: str = ''
    slots: int = 0
    born_ms: int = 0


@attrs.frozen
class HostList:
    """The platform's list of hosts at one revision of the store.

    Attributes:
        revision: The store's revision of the key that holds the list.
        hosts: The hosts by id.
    """

    revision: int = 0
    hosts: dict[str, Host] = attrs.field(factory=dict)

    def of_service(self, service: str) -> tuple[Host, ...]:
        """Returns the hosts that run a service, ordered by id."""
        return tuple(
            host
            for _, host in sorted(self.hosts.items())
            if host.service == service
        )

    def live(self) -> tuple[Host, ...]:
        """Returns the hosts that aren't leaving, ordered by id."""
        return tuple(
            host
            for _, host in sorted(self.hosts.items())
            if host.state is HostState.LIVE
        )
