"""Logs changes in the sets of shunned targets and quarantined requests."""

import attrs

from egretlanding.events import Event
from egretlanding.quarantine import FactKind, Quarantine
from egretlanding.servicestates import ServiceStates
from egretlanding.transitions import SetChangeLog


def _shunned_events() -> SetChangeLog:
    return SetChangeLog(
        Event.TARGET_SHUNNED,
        'target is much slower than its peers and gets only probes',
        Event.TARGET_RESTORED,
        'target gets its share of calls again',
    )


def _quarantined_events() -> SetChangeLog:
    return SetChangeLog(
        Event.CALL_QUARANTINED,
        'request crashed several targets and is refused for a while',
        Event.CALL_RELEASED,
        'request is no longer refused; a run completed, or the time is over',
    )


@attrs.define
class CallEvents:
    """Logs when targets are shunned or requests are quarantined.

    Attributes:
        shunned: The shunned targets, as service/host.
        quarantined: The signatures of quarantined requests.
    """

    shunned: SetChangeLog = attrs.field(factory=_shunned_events)
    quarantined: SetChangeLog = attrs.field(factory=_quarantined_events)

    def update(
        self, service_states: ServiceStates, quarantine: Quarantine
    ) -> None:
        """Logs the changes since the last update."""
        self.shunned.update(
            frozenset(
                f'{service}/{target.host.host_id}'
                for service, state in service_states.services.items()
                for target in state.balancer.targets.evidence.values()
                if target.probation is not None
            ),
        )
        self.quarantined.update(
            frozenset(
                signature
                for signature, suspect in quarantine.suspects.items()
                if suspect.kind() is FactKind.QUARANTINED
            ),
        )
