"""The roster of targets, from the entries that they keep in the store."""

import math
from collections.abc import Iterable, Iterator

import attrs

from egretlanding.evacuations import Evacuations
from egretlanding.hosts import Host, HostList, HostState

# Time that a target has to write its entry again if the entry lapsed during an
# outage of the store, counted from the end of the outage, seconds.
RENEWAL_GRACE_S = 2.5
MAX_DEPARTURES = 4_096


@attrs.frozen
class TargetEntry:
    """The entry in which a target describes itself in the store.

    Attributes:
        instance: Name of the target's process.
        address: IP address of the target and of the daemon beside it.
        port: TCP port of the target.
        service: The service that it belongs to.
        region: The region that it is in.
        failure_domain: The failure domain that it is in.
        slots: Number of calls that it runs at a time.
        draining: Whether it is draining: it takes no new calls and will stop.
        born_ms: When its process started, ms since the epoch, zero if
            unknown.
        sequence: Number of the entry among those of its process.
        cold_ms: How much longer it stayed cold when it wrote the entry, ms.
    """

    instance: str
    address: str
    port: int
    service: str
    region: str
    failure_domain: str
    slots: int
    draining: bool = False
    born_ms: int = 0
    sequence: int = 0
    cold_ms: int = 0

    @property
    def written(self) -> tuple[int, int]:
        """The order in which a target writes its entries."""
        return self.born_ms, self.sequence


@attrs.frozen
class Departure:
    """The removal of a target.

    Attributes:
        entry: Its last entry.
        era: The era of the store in which it was removed.
    """

    entry: TargetEntry
    era: int


@attrs.define
class RosterTarget:
    """A target on the roster, with the state of its entry.

    Attributes:
        entry: The last known entry.
        revision: The store's revision of the entry.
        era: The era of the store in which it was read.
        held_until: When to remove the target, because its entry is gone,
            seconds; None while the entry exists.
    """

    entry: TargetEntry
    revision: int
    era: int = 0
    held_until: float | None = None


@attrs.define
class Roster:
    """The targets that are assumed to run.

    Attributes:
        peer_port: TCP port on which every daemon accepts calls from other
            daemons.
        targets: The targets by instance.
        hosts: The hosts that they run on, by instance of the target.
        departures: The targets that were removed last, by instance.
        services: The services of the configuration in force, None before the
            first. An entry of any other service names no target.
        evacuations: The failure domains whose targets get no calls.
        evacuated_domains: Those that the hosts were last listed by.
        revision: Number of changes of the roster so far.
    """

    peer_port: int
    targets: dict[str, RosterTarget] = attrs.field(factory=dict)
    hosts: dict[str, Host] = attrs.field(factory=dict)
    departures: dict[str, Departure] = attrs.field(factory=dict)
    services: frozenset[str] | None = None
    evacuations: Evacuations = attrs.field(factory=Evacuations)
    evacuated_domains: frozenset[str] = frozenset()
    revision: int = 0

    def is_outdated(self, entry: TargetEntry, era: int) -> bool:
        """Returns whether an entry was known before the store was restored.

        The store may return with entries that targets have replaced since or
        whose deletion is known. The target's own count tells them apart.

        Args:
            entry: The entry.
            era: The era of the store in which it was read.
        """
        held = self.targets.get(entry.instance)
        if held is not None:
            return era > held.era and entry.written < held.entry.written
        departure = self.departures.get(entry.instance)
        if departure is None:
            return False
        return era > departure.era and entry.written <= departure.entry.written

    def update(self, entry: TargetEntry, revision: int, era: int = 0) -> None:
        """Applies an entry that was written to the store."""
        entry = self.attributed(entry)
        self.targets[entry.instance] = RosterTarget(entry, revision, era)
        self.hosts[entry.instance] = self._host(entry)
        self.departures.pop(entry.instance, None)
        self.revision += 1

    def attributed(self, entry: TargetEntry) -> TargetEntry:
        """Returns an entry as one of the process that wrote it.

        An entry that lacks its start or its number comes from another writer,
        if the process named both before. It can't announce another process,
        doesn't end the draining of this one, and doesn't lower its count.
        """
        held = self.targets.get(entry.instance)
        departure = self.departures.get(entry.instance)
        last = held.entry if held else departure and departure.entry
        if not last or not last.born_ms:
            return entry
        if entry.born_ms not in {0, last.born_ms}:
            return entry
        if entry.born_ms and (entry.sequence or not last.sequence):
            return entry
        return attrs.evolve(
            entry,
            born_ms=last.born_ms,
            sequence=max(entry.sequence, last.sequence),
            draining=entry.draining or last.draining,
        )

    def remove(
        self,
        instance: str,
        now: float,
        era: int = 0,
        outage_ended_at: float = -math.inf,
    ) -> None:
        """Applies the deletion of an entry.

        Args:
            instance: Name of the target's process.
            now: Monotonic time, seconds.
            era: The era of the store in which it was deleted.
            outage_ended_at: When the last outage of the store ended, seconds.
                An entry that lapsed in the outage is written again if its
                target runs, so that one that isn't draining stays on the
                roster for `RENEWAL_GRACE_S` from then on.
        """
        target = self.targets.get(instance)
        if target is None or target.held_until is not None:
            return
        held_until = outage_ended_at + RENEWAL_GRACE_S
        if now < held_until and not target.entry.draining:
            target.held_until = held_until
            target.era = era
            return
        self.drop(instance, era)
        self.revision += 1

    def drop(self, instance: str, era: int) -> None:
        """Takes a target off the roster and remembers its last entry."""
        entry = self.targets.pop(instance).entry
        del self.hosts[instance]
        self.departures[instance] = Departure(entry, era)
        if len(self.departures) > MAX_DEPARTURES:
            del self.departures[next(iter(self.departures))]

    def expire(self, now: float) -> list[str]:
        """Removes targets that did not write their entries again in time.

        Returns:
            The instances of the removed targets.
        """
        expired = [
            instance
            for instance, target in self.targets.items()
            if target.held_until is not None and target.held_until <= now
        ]
        for instance in expired:
            self.drop(instance, self.targets[instance].era)
        self.revision += bool(expired)
        return expired

    def entry_at(self, address: str, port: int) -> TargetEntry | None:
        """Returns the entry of the newest target at an address, if any."""
        at_address = (
            target
            for target in self._targets_in_service()
            if target.entry.address == address and target.entry.port == port
        )
        return _newest(at_address)

    def host_list(self) -> HostList:
        """Returns the hosts, each with the newest target at its address."""
        newest: dict[str, RosterTarget] = {}
        for target in self._targets_in_service():
            other = newest.setdefault(target.entry.address, target)
            if _precedence(target) > _precedence(other):
                newest[target.entry.address] = target
        instances = (found.entry.instance for found in newest.values())
        hosts = map(self.hosts.__getitem__, instances)
        listed = map(self._evacuate, hosts) if self.evacuated_domains else hosts
        return HostList(self.revision, {host.host_id: host for host in listed})

    def apply_evacuations(self) -> None:
        """Lists the hosts anew if other failure domains are evacuated."""
        if self.evacuations.domains != self.evacuated_domains:
            self.evacuated_domains = self.evacuations.domains
            self.revision += 1

    def _evacuate(self, host: Host) -> Host:
        if host.failure_domain not in self.evacuated_domains:
            return host
        return attrs.evolve(host, state=HostState.EVACUATED)

    def _targets_in_service(self) -> Iterator[RosterTarget]:
        # An entry of an unknown service doesn't displace others of its address.
        return (
            target
            for target in self.targets.values()
            if self.services is None or target.entry.service in self.services
        )

    def _host(self, entry: TargetEntry) -> Host:
        return Host(
            host_id=entry.address,
            address=entry.address,
            call_port=0,
            peer_port=self.peer_port,
            exchange_port=0,
            region=entry.region,
            failure_domain=entry.failure_domain,
            service=entry.service,
            state=HostState.LEAVING if entry.draining else HostState.LIVE,
            instance=entry.instance,
            slots=entry.slots,
            born_ms=entry.born_ms,
        )


def _newest(targets: Iterable[RosterTarget]) -> TargetEntry | None:
    newest = max(targets, key=_precedence, default=None)
    return None if newest is None else newest.entry


def _precedence(target: RosterTarget) -> tuple[bool, int, int, int]:
    # Processes follow one another at an address, so the one that started last
    # is the one that runs. A target whose entry exists comes before those
    # whose entries are gone.
    return (
        target.held_until is None,
        target.entry.born_ms,
        target.era,
        target.revision,
    )
