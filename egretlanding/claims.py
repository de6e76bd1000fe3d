"""Tracks pulls, so that an update that many peers have is pulled only once."""

import attrs

CLAIM_TTL_S = 1


@attrs.define
class Claims:
    """The pulls in progress, each claimed for a bounded time.

    Attributes:
        until: When each claim ends, by the digest of the release or the
            revision of the host list that is pulled, seconds.
    """

    until: dict[str | int, float] = attrs.field(factory=dict)

    def take(self, pull_key: str | int, now: float) -> bool:
        """Claims a pull.

        Returns:
            Whether it was claimed; False if that pull is in progress.
        """
        self.until = {
            key: until for key, until in self.until.items() if until > now
        }
        if pull_key in self.until:
            return False
        self.until[pull_key] = now + CLAIM_TTL_S
        return True

    def release(self, pull_key: str | int) -> None:
        """Ends the claim of a pull."""
        self.until.pop(pull_key, None)

    def clear(self) -> None:
        """Ends all claims, because any of the pulls may have failed."""
        self.until.clear()
