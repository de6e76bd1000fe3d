"""Decides when a daemon knows enough to serve calls."""

import attrs

from egretlanding.release import Position

REQUIRED_DOMAINS = 2
FRESH_CONFIRMATION_S = 30
START_LIMIT_S = 20
CATCH_UP_LIMIT_S = 60


@attrs.define
class Readiness:
    """Positions learned since the daemon started or resumed after a pause.

    Attributes:
        started_at: When the process started or resumed after a pause, seconds.
        ready: Whether it became ready since then.
        store_position: Greatest position confirmed by the store, directly
            or through a peer; None if there was no confirmation.
        domain_positions: Greatest position reported by peers of each failure
            domain that replied.
    """

    started_at: float
    ready: bool = False
    store_position: Position | None = None
    domain_positions: dict[str, Position] = attrs.field(factory=dict)

    def is_ready(self, now: float, position: Position) -> bool:
        """Returns whether the daemon may serve calls.

        A daemon that received too few replies within `START_LIMIT_S` serves
        with the release that it holds, so that an outage of the store can't
        keep daemons from starting. A daemon that knows of a later release
        waits for it, for up to `CATCH_UP_LIMIT_S`.
        """
        if not position.number:
            return False
        if self.ready:
            return True
        behind = any(
            reported > position for reported in self.domain_positions.values()
        )
        limit = CATCH_UP_LIMIT_S if behind else START_LIMIT_S
        return now - self.started_at >= limit

    def update(self, position: Position, peer_domains: int) -> None:
        """Becomes ready if the release in force is known to be late enough.

        It must not be earlier than the store's position, nor than the
        positions of the peers in `REQUIRED_DOMAINS` failure domains, or in
        all if there are fewer.

        Args:
            position: Position in force.
            peer_domains: Number of failure domains in which there are peers.
        """
        confirmed = self.store_position
        caught_up = sum(
            reported <= position for reported in self.domain_positions.values()
        )
        if position.number and confirmed is not None and confirmed <= position:
            required = min(REQUIRED_DOMAINS, peer_domains)
            self.ready = self.ready or caught_up >= required

    def note_store(self, position: Position) -> None:
        """Records a position that the store confirmed recently."""
        if self.store_position is None or self.store_position < position:
            self.store_position = position

    def note_peer(self, failure_domain: str, position: Position) -> None:
        """Records the position of a peer."""
        greatest = self.domain_positions.get(failure_domain, position)
        self.domain_positions[failure_domain] = max(greatest, position)

    def restart(self, now: float) -> None:
        """Starts over after a pause of the process."""
        self.started_at = now
        self.ready = False
        self.store_position = None
        self.domain_positions.clear()
