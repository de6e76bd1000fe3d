"""Builds the status report and the state dump of a daemon."""

import itertools
import math
from typing import Any

import attrs

from egretlanding.config import DaemonConfig
from egretlanding.hosts import HostState
from egretlanding.journal import Counters
from egretlanding.lifecycle import Phase
from egretlanding.messages import NoticeKind
from egretlanding.release import shorten
from egretlanding.releasetable import Conflict
from egretlanding.replica import Replica
from egretlanding.reports import describe_refused, refused_from_notice
from egretlanding.status import (
    RefusedRelease,
    ReleaseConflict,
    StatusReport,
)

MAX_ROWS = 64
CONFLICT_REMEDY = 'agree on one release and publish it with a greater number'


def status_report(
    config: DaemonConfig,
    replica: Replica,
    phase: Phase,
    now: float,
) -> StatusReport:
    """Returns the status report of a daemon.

    Args:
        config: The daemon's settings.
        replica: The replica.
        phase: The phase of the daemon's lifecycle.
        now: The time, seconds.
    """
    position = replica.releases.position
    release = replica.releases.release
    age = replica.freshness.confirmed_age(now)
    return StatusReport(
        host_id=config.host_id,
        region=config.region,
        failure_domain=config.failure_domain,
        service=config.service,
        incarnation=replica.config.incarnation,
        ready=phase is Phase.READY,
        draining=phase is Phase.DRAINING,
        number=position.number,
        digest=position.digest,
        revision=position.revision,
        parent=release.parent if release else '',
        confirmed_age_s=None if math.isinf(age) else age,
        hosts_revision=replica.membership.hosts.revision,
        refused=refused_releases(replica, now),
        conflicts=tuple(
            describe_conflict(conflict, position.digest)
            for conflict in replica.releases.conflicts
        ),
    )


def refused_releases(
    replica: Replica,
    now: float,
) -> tuple[RefusedRelease, ...]:
    """Returns the releases that this daemon or others have refused."""
    notices = replica.membership.notices.of_kind(NoticeKind.REFUSED, now)
    refused_by_others = map(refused_from_notice, notices)
    refused_here = itertools.starmap(
        describe_refused,
        (
            (refused.position.number, digest, refused.faults)
            for digest, refused in replica.releases.refused.items()
        ),
    )
    # A refusal by this daemon replaces a notice about the same release.
    by_digest = {
        refused.digest: refused
        for refused in itertools.chain(refused_by_others, refused_here)
    }
    by_digest.pop(replica.releases.digest, None)
    return tuple(by_digest.values())


def describe_conflict(conflict: Conflict, digest: str) -> ReleaseConflict:
    """Returns a conflict in the form of the status report.

    Args:
        conflict: The conflict.
        digest: Digest of the release in force. If it is neither of the two,
            both have been superseded since, and both count as losers.
    """
    in_force = shorten(digest)
    winner = in_force if in_force in conflict.digests else ''
    losers = (other for other in conflict.digests if other != winner)
    return ReleaseConflict(
        number=conflict.number,
        winner=winner,
        loser=', '.join(losers),
        reason=f'{conflict.reason.value}; {CONFLICT_REMEDY}',
    )


def describe_replica(replica: Replica, now: float) -> dict[str, Any]:
    """Returns the state of the replica, of bounded size."""
    hosts = replica.membership.hosts
    partners = replica.partners
    return {
        'position': attrs.asdict(replica.releases.position),
        'bases': [shorten(digest) for digest in replica.releases.delta_bases],
        'refused': sorted(replica.releases.refused),
        'stale_store': replica.stale,
        'paused_for_s': replica.paused_for,
        'attempted_age_s': finite_or_none(replica.freshness.attempted_age(now)),
        'confirmed_age_s': finite_or_none(replica.freshness.confirmed_age(now)),
        'hosts_age_s': finite_or_none(replica.freshness.hosts_age(now)),
        'rank': replica.watch_duty.rank,
        'on_duty': replica.should_read_release(now),
        'watching': replica.watch_duty.is_watching(now),
        'reads_available': replica.read_budget.available(now),
        'hosts': {
            'revision': hosts.revision,
            'listed': len(hosts.hosts),
            'leaving': [
                host.host_id
                for host in hosts.hosts.values()
                if host.state is HostState.LEAVING
                or replica.membership.is_leaving(host.host_id, now)
            ][:MAX_ROWS],
        },
        'partners': {
            place.name.lower(): sorted(chosen)
            for place, chosen in partners.chosen.items()
        },
        'contacts': {
            host_id: attrs.asdict(contact)
            for host_id, contact in itertools.islice(
                replica.membership.contacts.items(),
                MAX_ROWS,
            )
        },
        'notices': [
            attrs.asdict(notice)
            for notice in replica.membership.notices.notices_for_summary(now)
        ],
    }


def describe_counters(counters: Counters) -> dict[str, int]:
    """Returns the counts of the control tasks."""
    return attrs.asdict(counters)


def finite_or_none(age: float) -> float | None:
    """Returns an age, or None if it is infinite, which JSON can't hold."""
    return None if math.isinf(age) else age
