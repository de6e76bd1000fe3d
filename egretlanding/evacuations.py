"""Which failure domains are evacuated: their targets get no calls."""

import math

import attrs

# Time for which an evacuation outlasts a restored store that doesn't list it,
# seconds. The copy may be older than the evacuation, which is then written
# again.
RESTORED_HOLD_S = 2.5


@attrs.define
class Evacuation:
    """The evacuation of one failure domain.

    Attributes:
        since: When this daemon learned of it, seconds.
        revision: The store's revision of its record.
        held_until: When it ends unless it is written again, seconds; None
            while its record exists.
    """

    since: float
    revision: int
    held_until: float | None = None


@attrs.define
class Evacuations:
    """The failure domains that are evacuated.

    Attributes:
        by_domain: The evacuations by failure domain.
        era: The era of the store that the records are of, -1 before the first.
        restored_at: When a later era was first heard of, seconds.
    """

    by_domain: dict[str, Evacuation] = attrs.field(factory=dict)
    era: int = -1
    restored_at: float = -math.inf

    @property
    def domains(self) -> frozenset[str]:
        """The failure domains whose targets get no calls."""
        return frozenset(self.by_domain)

    def update_era(self, era: int, now: float) -> None:
        """Records which era the records are of, before they are applied."""
        if 0 <= self.era < era:
            self.restored_at = now
        self.era = max(self.era, era)

    def begin(self, domain: str, revision: int, now: float) -> bool:
        """Applies the record of an evacuation.

        Returns:
            Whether the failure domain wasn't evacuated before.
        """
        held = self.by_domain.get(domain)
        since = held.since if held else now
        self.by_domain[domain] = Evacuation(since, revision)
        return held is None

    def end(self, domain: str, now: float) -> bool:
        """Applies the deletion of an evacuation's record.

        A restored store may have lost records that still hold, so what it
        doesn't list goes on until `RESTORED_HOLD_S` after its return.

        Returns:
            Whether the evacuation has ended.
        """
        held = self.by_domain.get(domain)
        if held is None:
            return False
        held_until = self.restored_at + RESTORED_HOLD_S
        if now < held_until:
            held.held_until = held_until
            return False
        del self.by_domain[domain]
        return True

    def expire(self, now: float) -> list[str]:
        """Ends evacuations that were not written again in time.

        Returns:
            The failure domains that are no longer evacuated.
        """
        expired = [
            domain
            for domain, held in self.by_domain.items()
            if held.held_until is not None and held.held_until <= now
        ]
        for domain in expired:
            del self.by_domain[domain]
        return expired
