"""Which host owns a caller's own key, and since when.

Callers' own keys are owned by rendezvous over the hosts of the service in
the platform's list. Two daemons that hold different lists may each believe
that they own a key. Three rules keep it from running twice:

1. A daemon takes a key only while its list was confirmed to be the store's
   newest within `view_lag_s`.
2. A daemon refuses keys that were made before it became the owner plus
   `hold_off_s`, by which time rule 1 has stopped the owner before it.
3. A daemon whose list was not confirmed within `view_lag_s` at any time may
   have missed lists, and counts as a new owner from then on.

This holds as long as the wall clocks of two daemons differ by at most
`clock_s`, one process at a time uses a host id, and the store's answers to
its watchers aren't themselves stale. An issued key needs none of these.
"""

import attrs

from egretlanding.hosts import Host
from egretlanding.keys import CallerKey, IssuedKey, Key
from egretlanding.outcomes import Reason, Refusal
from egretlanding.rendezvous import weight

CLOCK_S = 2
VIEW_LAG_S = 30
RETENTION_S = 600
MAX_VIEWS = 64


@attrs.frozen
class Moment:
    """One instant on both clocks.

    Attributes:
        now: Monotonic clock, seconds.
        wall: Wall clock, seconds since the epoch.
    """

    now: float
    wall: float


@attrs.frozen
class KeyBounds:
    """The bounds within which keys run at most once.

    Attributes:
        clock_s: Largest difference of two wall clocks, seconds.
        view_lag_s: Largest age of a confirmed host list, seconds.
        retention_s: Time for which keys are remembered, seconds.
    """

    clock_s: float = CLOCK_S
    view_lag_s: float = VIEW_LAG_S
    retention_s: float = RETENTION_S

    @property
    def hold_off_s(self) -> float:
        """Time after which a new owner takes new keys, seconds."""
        return 2 * (self.view_lag_s + self.clock_s)


@attrs.frozen
class View:
    """The hosts of the service from one moment on.

    Attributes:
        since: Wall clock when the daemon adopted the list, seconds.
        hosts: Ids of the hosts.
    """

    since: float
    hosts: tuple[str, ...]


@attrs.define
class Ownership:
    """The keys that one daemon owns, by the lists that it has held.

    Attributes:
        host_id: The daemon's own host.
        bounds: The bounds on clocks and lists.
        views: The lists held, oldest first.
        confirmed: Monotonic time of the last confirmation, seconds.
    """

    host_id: str
    bounds: KeyBounds = attrs.field(factory=KeyBounds)
    views: list[View] = attrs.field(factory=list)
    confirmed: float = float('-inf')

    def check(self, key: CallerKey, moment: Moment) -> Refusal | None:
        """Says why this daemon must not run a key that it doesn't know.

        Args:
            key: The key.
            moment: The current time.

        Returns:
            The refusal, or None if the daemon owns the key for long enough.
        """
        began = self.owned_since(key)
        if began is None:
            return Refusal.unknown(
                Reason.KEY_NOT_OWNED,
                f'host {self.host_id} does not own the key',
            )
        if moment.now - self.confirmed > self.bounds.view_lag_s:
            return Refusal.unknown(
                Reason.KEY_VIEW_STALE,
                'the host list has not been confirmed of late',
            )
        if key.created < began + self.bounds.hold_off_s:
            return Refusal.unknown(
                Reason.KEY_UNSETTLED,
                f'the key is older than the ownership of {self.host_id}',
            )
        return None

    def owned_since(self, key: CallerKey) -> float | None:
        """Returns when the daemon became the owner, wall clock seconds.

        Returns:
            The time, or None if the daemon doesn't own the key.
        """
        began = None
        for view in reversed(self.views):
            if owner_id(key, view.hosts) != self.host_id:
                break
            began = view.since
        return began

    def confirm(
        self,
        hosts: tuple[str, ...],
        age_s: float,
        moment: Moment,
    ) -> None:
        """Records the hosts of the service and how old the news are.

        Args:
            hosts: Ids of the service's hosts in the list that is held.
            age_s: Time since the store had no later list, seconds.
            moment: The current time.
        """
        # Lists may have come and gone while this one was not confirmed.
        if moment.now - self.confirmed > self.bounds.view_lag_s:
            self.views.clear()
        if not self.views or self.views[-1].hosts != hosts:
            self.views.append(View(moment.wall, hosts))
        self.confirmed = max(self.confirmed, moment.now - age_s)
        del self.views[:-MAX_VIEWS]


def owner_id(key: Key, hosts: tuple[str, ...]) -> str | None:
    """Returns the id of the host that owns a key, or None without hosts."""
    if isinstance(key, IssuedKey):
        return key.host_id if key.host_id in hosts else None
    return max(
        hosts, key=lambda host: (weight(key.text, host), host), default=None
    )


def locate_owner(
    key: Key,
    service: str,
    hosts: tuple[Host, ...],
) -> Host | Refusal:
    """Finds the host to which an ingress sends a call with a key.

    Args:
        key: The key.
        service: The service that the call's route names.
        hosts: The service's hosts in the platform's list, leaving ones too.

    Returns:
        The owner, or a refusal with an unknown outcome.
    """
    if isinstance(key, IssuedKey) and key.service != service:
        return Refusal.unknown(
            Reason.KEY_REUSED,
            f'the key was issued for service {key.service}, not {service}',
        )
    by_id = {host.host_id: host for host in hosts}
    owner = owner_id(key, tuple(by_id))
    if owner is None:
        return Refusal.unknown(
            Reason.KEY_OWNER_GONE,
            'the host that owns the key is not in the host list',
        )
    return by_id[owner]
