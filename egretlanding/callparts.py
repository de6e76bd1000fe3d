"""Builds the components of the call path from a daemon's settings."""

import random
from typing import Any

from egretlanding.admission import Admission
from egretlanding.callerlimits import descriptor_limit, max_caller_connections
from egretlanding.config import DaemonConfig
from egretlanding.dialect import Dialect
from egretlanding.egress import Egress
from egretlanding.frames import Hello
from egretlanding.httpserver import Handler, HttpServerFactory
from egretlanding.idempotency import KeyTable
from egretlanding.objects import Service
from egretlanding.peers import PeerContext
from egretlanding.peerserver import PeerServer
from egretlanding.quarantine import Quarantine
from egretlanding.residency import Residency
from egretlanding.servicestates import CHOOSERS, ServiceStates
from egretlanding.subsets import Locality
from egretlanding.targetcalls import TargetCalls
from egretlanding.targethealth import HEALTH_CHECKS
from egretlanding.targetpool import TargetPool

# Provides the limits for the local target until a release is in force.
DEFAULT_SERVICE = Service(regions=())


def build_egress(
    reactor: Any,
    config: DaemonConfig,
    incarnation: int,
    dialect: Dialect,
) -> Egress:
    """Builds the component that runs calls at the local target."""
    pool = TargetPool(
        reactor,
        config.target_address,
        config.target_port,
        DEFAULT_SERVICE.connections,
    )
    health = HEALTH_CHECKS[config.target_check](reactor, pool)
    quarantine = Quarantine()
    process = f'{config.host_id}:{incarnation:x}'
    return Egress(
        reactor,
        TargetCalls(process, pool, health, quarantine, dialect=dialect),
        health,
        Admission.from_service(DEFAULT_SERVICE),
        KeyTable.for_daemon(config.service, config.host_id, incarnation),
        quarantine,
        dialect=dialect,
        residency=Residency(config.region),
    )


def build_peer_context(
    config: DaemonConfig,
    incarnation: int,
    server: PeerServer,
) -> PeerContext:
    """Builds the state that the connections to other daemons share."""
    return PeerContext(
        Hello(config.host_id, incarnation, ready=False),
        server.on_call,
        server.on_cancel,
        server.on_close,
    )


def build_caller_port(
    reactor: Any,
    handler: Handler,
    egress: Egress,
    context: PeerContext,
) -> HttpServerFactory:
    """Builds the connections of callers, which share the byte budget.

    Args:
        reactor: The reactor.
        handler: Handles the requests of callers.
        egress: Runs calls at the local target.
        context: What the connections to other daemons share.
    """
    factory = HttpServerFactory(handler, reactor.seconds)
    factory.max_connections = max_caller_connections(descriptor_limit())
    budget = factory.caller_limits.budget
    context.budget = budget
    egress.target.pool.buffers.join(budget)
    return factory


def build_service_states(config: DaemonConfig) -> ServiceStates:
    """Builds the state of the services, without any service yet."""
    locality = Locality(config.host_id, config.region, config.failure_domain)
    return ServiceStates(
        locality,
        CHOOSERS[config.balancing],
        random.Random(config.host_id),
    )
