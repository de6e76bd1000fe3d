"""Describes the state of the call path for operators."""

from typing import TYPE_CHECKING, Any

import attrs

from egretlanding.evidence import TargetEvidence
from egretlanding.servicestates import ServiceStates
from egretlanding.targets import TargetTable

if TYPE_CHECKING:
    from egretlanding.calls import CallService


def explain_call(
    service_states: ServiceStates,
    method: str,
    path: str,
    now: float,
) -> dict[str, Any]:
    """Describes how a call would be routed, and to which targets.

    Args:
        service_states: State of the services that the ingress calls.
        method: HTTP method, in upper case.
        path: The request path.
        now: Monotonic time, seconds.
    """
    view = service_states.view
    if view is None:
        return {'reasons': ['no release is in force']}
    explanation = attrs.asdict(view.routes.explain(method, path))
    match = view.routes.match(method, path)
    if match:
        service = match.service_name
        explanation['targets'] = describe_targets(service_states, service, now)
    return explanation


def describe_targets(
    service_states: ServiceStates,
    service: str,
    now: float,
) -> list[dict[str, Any]]:
    """Describes the targets of a service from the ingress's evidence."""
    targets = service_states.service(service, now).balancer.targets
    return [
        {
            'host_id': target.host.host_id,
            'distance': target.distance.name.lower(),
            'slowness': round(target.current_slowness(now), 2),
            'in_flight': len(target.flights),
            **describe_estimate(targets, target, now),
            'shunned': target.probation is not None,
            'barred': target.is_unreachable(now),
            'leaving': target.host.host_id in targets.unready_hosts,
        }
        for target in targets.evidence.values()
    ]


def describe_estimate(
    targets: TargetTable, target: TargetEvidence, now: float
) -> dict[str, Any]:
    """Describes the estimate that decides on a target.

    Args:
        targets: The targets of the service.
        target: The target.
        now: Monotonic time, seconds.

    Returns:
        Nothing if learned limits are off.
    """
    if targets.expectations is None:
        return {}
    score = round(targets.score(target, now), 2)
    report = target.capacity
    if report is None:
        return {'estimate': 'own calls', 'score': score}
    return {
        'estimate': 'report of its daemon',
        'score': score,
        'limit': report.limit,
        'speed': round(report.current_speed(now), 2),
        'reported_load': report.load,
        'report_age_s': round(now - report.reported, 2),
    }


def dump_calls(service: 'CallService') -> dict[str, Any]:
    """Describes the state of the whole call path."""
    egress, ingress, service_states = (
        service.egress,
        service.ingress,
        service.service_states,
    )
    now = service.reactor.seconds()
    return {
        'draining': service.draining,
        'callers': len(service.http.connections),
        'in_flight': len(ingress.active_calls),
        'at_target': len(egress.table.jobs),
        'slots': egress.admission.slots.limit.current,
        'queued': len(egress.admission.short) + len(egress.admission.long),
        'target_up': egress.health.up,
        'target_draining': egress.health.draining,
        'target_connections': egress.target.pool.open_count,
        'keys': len(egress.keys.entries),
        'suspects': len(egress.quarantine.suspects),
        'connected': sorted(service.links.connected_hosts()),
        'unready': sorted(service_states.unready),
        'outcomes': {
            f'{ran}:{reason}': count
            for (ran, reason), count in ingress.outcomes.items()
        },
        'hedges': ingress.hedges,
        **({'silence': egress.silent.dump()} if egress.silent else {}),
        'services': {
            name: describe_targets(service_states, name, now)
            for name in service_states.services
        },
    }
