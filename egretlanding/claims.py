"""Which pulls are under way, so that news from many peers is pulled once."""

import attrs

CLAIM_S = 1


@attrs.define
class Claims:
    """The pulls under way, each held for a bounded time.

    Attributes:
        until: When each claim ends, by digest or revision, seconds.
    """

    until: dict[str | int, float] = attrs.field(factory=dict)

    def take(self, target: str | int, now: float) -> bool:
        """Claims a pull.

        Returns:
            Whether nobody else holds the claim.
        """
        self.until = {
            key: until for key, until in self.until.items() if until > now
        }
        if target in self.until:
            return False
        self.until[target] = now + CLAIM_S
        return True

    def release(self, target: str | int) -> None:
        """Ends a claim."""
        self.until.pop(target, None)

    def clear(self) -> None:
        """Ends all claims, because a pull may have failed."""
        self.until.clear()
