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
class LifeCore:
    """The state and callbacks of the state machine.

    Attributes:
        begin_drain: Called once when the daemon should stop.
        end: Called once when no call is in flight any more.
        phase: The current phase.
    """

    begin_drain: Callable[[], None]
    end: Callable[[], None]
    phase: Phase = Phase.STARTING


class Life(Protocol):
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


builder = TypeMachineBuilder(Life, LifeCore)

starting = builder.state(Phase.STARTING.value)
syncing = builder.state(Phase.SYNCING.value)
ready = builder.state(Phase.READY.value)
draining = builder.state(Phase.DRAINING.value)
stopped = builder.state(Phase.STOPPED.value)


@starting.upon(Life.opened).to(syncing)
def _open(_life: Life, core: LifeCore) -> None:
    core.phase = Phase.SYNCING
    log_event(Event.DAEMON_STARTED, 'the sockets are open')


@syncing.upon(Life.synced).to(ready)
def _become_ready(_life: Life, core: LifeCore) -> None:
    core.phase = Phase.READY
    log_event(Event.DAEMON_READY, 'ready for calls')


@ready.upon(Life.lost_sync).to(syncing)
def _lose_sync(_life: Life, core: LifeCore) -> None:
    core.phase = Phase.SYNCING


@starting.upon(Life.stop_requested).to(draining)
@syncing.upon(Life.stop_requested).to(draining)
@ready.upon(Life.stop_requested).to(draining)
def _drain(_life: Life, core: LifeCore) -> None:
    core.phase = Phase.DRAINING
    log_event(Event.DAEMON_DRAINING, 'draining')
    core.begin_drain()


@draining.upon(Life.drained).to(stopped)
def _end(_life: Life, core: LifeCore) -> None:
    core.phase = Phase.STOPPED
    log_event(Event.DAEMON_STOPPED, 'stopped')
    core.end()


def _ignore(state: Any, *inputs: Any) -> None:
    for ignored in inputs:
        state.upon(ignored).loop().returns(None)


_ignore(starting, Life.synced, Life.lost_sync)
_ignore(syncing, Life.lost_sync)
_ignore(ready, Life.synced)
_ignore(draining, Life.opened, Life.synced, Life.lost_sync)
_ignore(draining, Life.stop_requested)
_ignore(stopped, Life.synced, Life.lost_sync, Life.stop_requested)

build_machine: Callable[[LifeCore], Life] = builder.build()
