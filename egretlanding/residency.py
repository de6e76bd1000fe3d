"""Decides whether a call may run in a region."""

from collections.abc import Collection, Mapping

import attrs

from egretlanding.objects import Route
from egretlanding.outcomes import Reason, Refusal


def must_leave(regions: Collection[str], region: str) -> bool:
    """Returns whether a call that is confined to some can't stay in a region.

    Args:
        regions: The regions that the call is confined to, empty for all.
        region: The region.
    """
    return bool(regions) and region not in regions


@attrs.define
class Residency:
    """Checks beside the target that a call may run in this region.

    The ingress daemon has chosen the target by its own configuration, which
    may be older or newer than the one of this daemon.

    Attributes:
        region: Region of this daemon, empty if unknown.
        routes: The routes of the configuration in force, by name.
    """

    region: str = ''
    routes: Mapping[str, Route] = attrs.field(factory=dict)

    def check(
        self, route_name: str, regions: Collection[str]
    ) -> Refusal | None:
        """Returns a refusal if a call must not run in this region.

        Args:
            route_name: Name of the route that the ingress daemon matched.
            regions: The regions that it found the call confined to, empty for
                all.
        """
        route = self.routes.get(route_name)
        held = route.allowed_regions if route else ()
        if not any(must_leave(names, self.region) for names in (regions, held)):
            return None
        return Refusal.not_run(
            Reason.OTHER_REGION,
            'the route does not allow calls to run in this region',
        )
