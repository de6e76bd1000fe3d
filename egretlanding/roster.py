"""Which targets there are, from the entries that they keep in the store."""

from collections.abc import Iterable

import attrs

from egretlanding.hosts import Host, HostList, HostState

# Time after an outage of the store in which targets whose entries lapsed
# meanwhile write them again, seconds.
RETURN_S = 2.5


@attrs.frozen
class TargetEntry:
    """What a target says of itself in the store.

    Attributes:
        instance: The target's process.
        address: IP address of the target and of the daemon beside it.
        port: TCP port of the target.
        service: The service that it runs.
        region: The region that it is in.
        failure_domain: The failure domain that it is in.
        slots: Calls that it runs at a time.
        draining: Whether it takes no new calls and is about to end.
        born_ms: When its process started, ms since the epoch, zero if it
            doesn't say.
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


@attrs.define
class KnownTarget:
    """A target with what is believed of its entry.

    Attributes:
        entry: The entry as it was last.
        revision: The store's revision of the entry.
        held_until: When a target whose entry is gone is forgotten, seconds;
            None while there is an entry.
    """

    entry: TargetEntry
    revision: int
    held_until: float | None = None


@attrs.define
class Roster:
    """The targets that are believed to run.

    Attributes:
        peer_port: TCP port of each daemon for calls from other daemons.
        targets: The targets by the name of their process.
        revision: Grows with each change.
    """

    peer_port: int
    targets: dict[str, KnownTarget] = attrs.field(factory=dict)
    revision: int = 0

    def update(self, entry: TargetEntry, revision: int) -> None:
        """Takes over an entry that was written."""
        self.targets[entry.instance] = KnownTarget(entry, revision)
        self.revision += 1

    def remove(self, instance: str, now: float, *, lapsed: bool) -> None:
        """Takes over that an entry is gone.

        Args:
            instance: The target's process.
            now: Monotonic time, seconds.
            lapsed: Whether the store was away of late, so that the entry of
                a target that lives may have run out and will be back.
        """
        known = self.targets.get(instance)
        if known is None or known.held_until is not None:
            return
        if lapsed and not known.entry.draining:
            known.held_until = now + RETURN_S
            return
        del self.targets[instance]
        self.revision += 1

    def expire(self, now: float) -> list[str]:
        """Forgets targets whose entries did not come back.

        Returns:
            The forgotten targets.
        """
        expired = [
            instance
            for instance, known in self.targets.items()
            if known.held_until is not None and known.held_until <= now
        ]
        for instance in expired:
            del self.targets[instance]
        self.revision += bool(expired)
        return expired

    def at(self, address: str, port: int) -> TargetEntry | None:
        """Returns the entry of the target at an address, if it has one."""
        found = (
            known
            for known in self.targets.values()
            if known.entry.address == address and known.entry.port == port
        )
        return _newest(found)

    def host_list(self) -> HostList:
        """Returns the hosts, each with the newest target at its address."""
        by_address: dict[str, list[KnownTarget]] = {}
        for known in self.targets.values():
            by_address.setdefault(known.entry.address, []).append(known)
        newest = map(_newest, by_address.values())
        hosts = (self._host(entry) for entry in newest if entry)
        return HostList(self.revision, {host.host_id: host for host in hosts})

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
        )


def _newest(known: Iterable[KnownTarget]) -> TargetEntry | None:
    # A process that lives follows those that ended at its address.
    best = max(
        known,
        key=lambda each: (
            each.held_until is None,
            each.entry.born_ms,
            each.revision,
        ),
        default=None,
    )
    return None if best is None else best.entry
