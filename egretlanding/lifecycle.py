"""The lifecycle of a daemon, from its start to its graceful stop."""

import enum
from collections.abc import Callable
from typing import Any, Protocol

import attrs
from automat import TypeMachineBuilder

from egretlanding.events import Event, log_event


class Phase(enum.StrEnum):
    """The phases of a daemon's lifecycle."""

    STARTING = 'starting'
    SYNCING = 'syncing'
    READY = 'ready'
    DRAINING = 'draining'
    STOPPED = 'stopped'


@attrs.define(eq=False)
class LifecycleState:
    """The state and callbacks of the state machine.

    Attributes:
        begin_drain: Called once when the daemon should stop.
        end: Called once when no call is in flight any more.
        phase: The current phase.
    """

    begin_drain: Callable[[], None]
    end: Callable[[], None]
    phase: Phase = Phase.STARTING


class Lifecycle(Protocol):
    """The inputs of the state machine."""

    def opened(self) -> None:
        """The sockets are open."""

    def synced(self) -> None:
        """The configuration is current."""

    def lost_sync(self) -> None:
        """The configuration may be outdated, after a pause of the process."""

    def stop_requested(self) -> None:
        """An operator asked the daemon to stop."""

    def drained(self) -> None:
        """No call is in flight any more."""


builder = TypeMachineBuilder(Lifecycle, LifecycleState)

starting = builder.state(Phase.STARTING.value)
syncing = builder.state(Phase.SYNCING.value)
ready = builder.state(Phase.READY.value)
draining = builder.state(Phase.DRAINING.value)
stopped = builder.state(Phase.STOPPED.value)


@starting.upon(Lifecycle.opened).to(syncing)
def _open(_lifecycle: Lifecycle, state: LifecycleState) -> None:
    state.phase = Phase.SYNCING
    log_event(Event.DAEMON_STARTED, 'the sockets are open')


@syncing.upon(Lifecycle.synced).to(ready)
def _become_ready(_lifecycle: Lifecycle, state: LifecycleState) -> None:
    state.phase = Phase.READY
    log_event(Event.DAEMON_READY, 'ready for calls')


@ready.upon(Lifecycle.lost_sync).to(syncing)
def _lose_sync(_lifecycle: Lifecycle, state: LifecycleState) -> None:
    state.phase = Phase.SYNCING


@starting.upon(Lifecycle.stop_requested).to(draining)
@syncing.upon(Lifecycle.stop_requested).to(draining)
@ready.upon(Lifecycle.stop_requested).to(draining)
def _drain(_lifecycle: Lifecycle, state: LifecycleState) -> None:
    state.phase = Phase.DRAINING
    log_event(Event.DAEMON_DRAINING, 'draining')
    state.begin_drain()


@draining.upon(Lifecycle.drained).to(stopped)
def _end(_lifecycle: Lifecycle, state: LifecycleState) -> None:
    state.phase = Phase.STOPPED
    log_event(Event.DAEMON_STOPPED, 'stopped')
    state.end()


def _ignore(state: Any, *inputs: Any) -> None:
    for ignored in inputs:
        state.upon(ignored).loop().returns(None)


_ignore(starting, Lifecycle.synced, Lifecycle.lost_sync)
_ignore(syncing, Lifecycle.lost_sync)
_ignore(ready, Lifecycle.synced)
_ignore(draining, Lifecycle.opened, Lifecycle.synced, Lifecycle.lost_sync)
_ignore(draining, Lifecycle.stop_requested)
_ignore(
    stopped, Lifecycle.synced, Lifecycle.lost_sync, Lifecycle.stop_requested
)

build_machine: Callable[[LifecycleState], Lifecycle] = builder.build()
