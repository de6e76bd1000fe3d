"""The share of a target's latest calls that failed."""

import attrs

# Weight of the latest call in the moving average.
SAMPLE_WEIGHT = 0.05
# Largest share of failures that a delay is corrected for.
MAX_SHARE = 0.9


@attrs.define
class FailureShare:
    """Learns which share of the calls at a target fail.

    Attributes:
        share: Moving average of the calls, 1 for each that failed.
    """

    share: float = 0

    def observe(self, *, failed: bool) -> None:
        """Records a call that ran at the target."""
        self.share += SAMPLE_WEIGHT * (failed - self.share)

    def until_success(self, delay_s: float) -> float:
        """Returns the expected time until a call succeeds, with repetitions.

        Args:
            delay_s: Expected time until one call is answered, seconds.
        """
        return delay_s / (1 - min(MAX_SHARE, self.share))
