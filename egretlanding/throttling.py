"""Limits how often calls are offered to targets that refuse most of them.

When a service is overloaded, each refused call is offered to other targets,
whose daemons then spend processor time and link bytes on refusals. Each ingress
daemon therefore offers calls again at most as often as calls were accepted
lately, and refuses the others at once. First offers are limited too if their
bodies take up the links of the hosts beside the targets.
"""

import math
import random

import attrs

# Time constant with which earlier offers lose their weight, seconds.
MEMORY_S = 1.0
MAX_GROUPS = 1_024


@attrs.frozen
class OfferRate:
    """How often calls may be offered.

    Attributes:
        per_accepted: Offers for each accepted call.
        free: Offers that are made even if no call is accepted, so that the end
            of an overload is noticed.
    """

    per_accepted: float
    free: float


# For calls of which only further offers are limited.
FURTHER_OFFERS = OfferRate(per_accepted=1, free=3)
# For calls of which first offers are limited too.
ALL_OFFERS = OfferRate(per_accepted=2, free=8)


@attrs.define
class OfferCounts:
    """The offers of one group that were due and accepted lately.

    Attributes:
        due: Limited offers that were due, including those not made.
        accepted: Calls that weren't refused for lack of capacity, whether at
            the first offer or a further one.
        updated: When the counts were last reduced, seconds.
    """

    due: float = 0
    accepted: float = 0
    updated: float = 0

    def fade(self, now: float) -> None:
        """Reduces the weight of what was counted before."""
        share = math.exp(min(0, self.updated - now) / MEMORY_S)
        self.due *= share
        self.accepted *= share
        self.updated = now

    def excess(self, rate: OfferRate) -> float:
        """Returns the share of limited offers not to make, 0 to 1."""
        allowed = rate.per_accepted * self.accepted + rate.free
        return max(0, (self.due - allowed) / (self.due + 1))


@attrs.define
class OfferLimit:
    """Decides which calls of a service are not offered to targets.

    Attributes:
        groups: What was counted, by group: a route, at the targets of this
            region or of others.
        throttled: Number of offers that were not made.
    """

    groups: dict[str, OfferCounts] = attrs.field(factory=dict)
    throttled: int = 0

    def allows(
        self, group: str, rate: OfferRate, now: float, rng: random.Random
    ) -> bool:
        """Returns whether to make a limited offer that is due, and counts it.

        Args:
            group: The group that the call belongs to.
            rate: How often calls of the group may be offered.
            now: Monotonic time, seconds.
            rng: Source of the random decision.
        """
        counts = self.counts(group, now)
        counts.due += 1
        if rng.random() >= counts.excess(rate):
            return True
        self.throttled += 1
        return False

    def record_acceptance(self, group: str, now: float) -> None:
        """Counts a call that wasn't refused for lack of capacity."""
        self.counts(group, now).accepted += 1

    def counts(self, group: str, now: float) -> OfferCounts:
        """Returns what was counted for a group."""
        if len(self.groups) > MAX_GROUPS:
            self.groups.clear()
        counts = self.groups.setdefault(group, OfferCounts(updated=now))
        counts.fade(now)
        return counts
