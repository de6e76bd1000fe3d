"""A state machine over several replicas, their network and the store."""

import itertools
from collections.abc import Callable
from random import Random

import attrs
import msgspec
import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from result import Ok

from egretlanding.delta import ReleaseChanges, ReleaseHeader
from egretlanding.hosts import Host
from egretlanding.messages import Summary
from egretlanding.objects import ConfigObject, Region, Service
from egretlanding.readiness import Readiness
from egretlanding.release import Position, Release, decode_object, inflate
from egretlanding.releasetable import Ignored, Outcome, ReleaseTable
from egretlanding.replica import Replica, ReplicaConfig
from lab.model import FleetModel
from lab.scheduler import Event
from lab.store import STORE

CONVERGENCE_S = 13
HOSTS = {
    f'h{number}': Host(
        host_id=f'h{number}',
        address='127.0.0.1',
        call_port=1,
        peer_port=2,
        exchange_port=3,
        region='west' if number < 4 else 'east',
        failure_domain=f'zone-{number // 2}',
        service='catalogue',
    )
    for number in range(8)
}
HOST_IDS = st.sampled_from(sorted(HOSTS))
NAMES = ('a', 'b', 'c')


def find_faults(objects: tuple[ConfigObject, ...]) -> list[str]:
    """Finds services that name a region which isn't among the objects."""
    regions = {
        config_object.name
        for config_object in objects
        if config_object.kind == 'Region'
    }
    return [
        f'Service {config_object.name} names an unknown region'
        for config_object in objects
        if config_object.kind == 'Service'
        and not regions.issuperset(config_object.spec.regions)
    ]


def make_release(
    number: int,
    parent: str,
    slots: dict[str, int],
    *,
    good: bool,
) -> Release:
    """Builds a release of some services, and of their region if it is good."""
    region = ConfigObject('Region', 'r', Region(failure_domains=('z',)))
    regions = [region] if good else []
    services = [
        ConfigObject('Service', name, Service(regions=('r',), slots=count))
        for name, count in slots.items()
    ]
    return Release.from_objects(number, parent, regions + services)


@attrs.define(kw_only=True)
class CheckedModel(FleetModel):
    """A model that checks a replica after each event on it."""

    check: Callable[[Replica], None]

    def run(self, event: Event) -> None:
        super().run(event)
        self.check(event.replica)


class ReplicaMachine(RuleBasedStateMachine):
    """Publishes releases, and injects and ends faults, at random.

    The promises of the distribution are checked at each step.
    """

    replica_class = Replica
    table_class = ReleaseTable
    readiness_class = Readiness
    checks_convergence = True

    @initialize(seed=st.integers(0, 2**16))
    def begin(self, seed: int) -> None:
        self.random = Random(seed)
        self.incarnations = itertools.count(1)
        self.model = CheckedModel(
            self.build, self.delays, check=self.check_replica
        )
        self.cut_links: set[frozenset[str]] = set()
        self.one_way: set[tuple[str, str]] = set()
        self.fault_rate: float = 0
        self.highest: dict[int, Position] = {}
        self.checked: dict[int, Release] = {}
        self.model.store.put_hosts(list(HOSTS.values()))
        for host_id in HOSTS:
            self.model.start(host_id)
        self.model.publish(make_release(1, '', {'a': 1}, good=True))

    def build(self, host_id: str, now: float) -> Replica:
        config = ReplicaConfig(
            host=HOSTS[host_id],
            incarnation=next(self.incarnations),
            seeds=(HOSTS['h0'], HOSTS['h2'], HOSTS['h5'], HOSTS['h7']),
            store_region='west',
        )
        random = Random(self.random.random())
        replica = self.replica_class.from_config(
            config,
            find_faults,
            random,
            now,
        )
        replica.releases = self.table_class(find_faults)
        replica.readiness = self.readiness_class(now)
        return replica

    def delays(self, source: str, target: str, size: int) -> list[float]:
        if frozenset((source, target)) in self.cut_links:
            return []
        if (source, target) in self.one_way:
            return []
        copies = self.random.choices(
            (0, 1, 2),
            (self.fault_rate, 1, self.fault_rate),
        )
        spread = 0.001 + self.fault_rate * 3
        return [self.random.uniform(0.001, spread) for _ in range(*copies)]

    @rule(
        step=st.integers(0, 2),
        stale_base=st.booleans(),
        good=st.booleans() | st.just(True),
        slots=st.dictionaries(st.sampled_from(NAMES), st.integers(1, 9)),
        races=st.integers(1, 2),
    )
    def publish(
        self,
        step: int,
        stale_base: bool,
        good: bool,
        slots: dict[str, int],
        races: int,
    ) -> None:
        published = [release for release, _ in self.model.store.published]
        base = published[-2 if stale_base else -1 :][0]
        for racer in range(races):
            racer_slots = {**slots, f'racer-{racer}': 1}
            number = base.number + step
            self.model.publish(
                make_release(number, base.digest, racer_slots, good=good),
            )

    @rule(host_id=HOST_IDS)
    def pause(self, host_id: str) -> None:
        self.model.pause(host_id)

    @rule()
    def wake(self) -> None:
        for host_id in list(self.model.paused):
            self.model.resume(host_id)

    @rule(host_ids=st.sets(HOST_IDS, min_size=1, max_size=8))
    def restart(self, host_ids: set[str]) -> None:
        for host_id in sorted(host_ids):
            self.model.start(host_id)

    @rule(inside=st.sets(HOST_IDS | st.just(STORE), min_size=1, max_size=6))
    def split(self, inside: set[str]) -> None:
        outside = {*HOSTS, STORE} - inside
        self.cut_links = set(map(frozenset, itertools.product(inside, outside)))

    @rule(sender=HOST_IDS, receiver=HOST_IDS)
    def cut_one_way(self, sender: str, receiver: str) -> None:
        self.one_way.add((sender, receiver))

    @rule(fault_rate=st.sampled_from((0, 0.3)))
    def disturb_network(self, fault_rate: float) -> None:
        self.fault_rate = fault_rate

    @rule(down=st.booleans())
    def set_store_down(self, down: bool) -> None:
        self.model.store.down = down

    @rule(steps_back=st.integers(0, 2))
    def freeze_store(self, steps_back: int) -> None:
        self.model.store.serve_stale(steps_back)

    @rule(seconds=st.sampled_from((0.05, 0.5, 3, 20)))
    def advance(self, seconds: float) -> None:
        self.model.advance(seconds)

    @rule()
    def heal(self) -> None:
        self.cut_links.clear()
        self.one_way.clear()
        self.fault_rate = 0
        self.model.store.down = False
        self.model.store.stale_content = None
        self.wake()
        positions_before = self.positions()
        self.model.advance(CONVERGENCE_S)
        if self.checks_convergence:
            self.check_converged(max(*positions_before, self.stored_position()))

    @invariant()
    def holds(self) -> None:
        for replica in self.replicas():
            self.check_replica(replica)

    def check_replica(self, replica: Replica) -> None:
        self.check_position_never_falls(replica)
        self.check_release_is_valid(replica)
        self.check_ages(replica)
        self.check_ready(replica)

    def check_position_never_falls(self, replica: Replica) -> None:
        incarnation = replica.config.incarnation
        before = self.highest.get(incarnation, Position())
        assert replica.releases.position >= before
        self.highest[incarnation] = replica.releases.position

    def check_ages(self, replica: Replica) -> None:
        assert replica.freshness.attempted_at <= self.model.last_read_at

    def check_ready(self, replica: Replica) -> None:
        holds_release = replica.releases.release is not None
        assert holds_release or not replica.is_ready(self.model.now)

    def check_release_is_valid(self, replica: Replica) -> None:
        release = replica.releases.release
        incarnation = replica.config.incarnation
        if release is None or self.checked.get(incarnation) is release:
            return
        published = {
            candidate.position(revision): candidate
            for candidate, revision in self.model.store.published
        }
        assert release.objects == published[replica.releases.position].objects
        assert not find_faults(tuple(release.objects.values()))
        self.checked[incarnation] = release

    def check_converged(self, least: Position) -> None:
        positions = set(self.positions())
        assert len(positions) == 1
        assert min(positions) >= least
        for replica in self.replicas():
            holds_release = replica.releases.release is not None
            assert replica.is_ready(self.model.now) is holds_release
            first_conflicts = self.replicas()[0].releases.conflicts
            assert replica.releases.conflicts == first_conflicts

    def replicas(self) -> list[Replica]:
        return list(self.model.replicas.values())

    def positions(self) -> list[Position]:
        return [replica.releases.position for replica in self.replicas()]

    def stored_position(self) -> Position:
        release, revision = self.model.store.published[-1]
        is_valid = not find_faults(tuple(release.objects.values()))
        return release.position(revision) if is_valid else Position()


class LastReceivedWins(ReleaseTable):
    """Wrong: puts the release that it received last in force."""

    def should_pull(self, position: Position) -> bool:
        return position.digest != self.digest

    def offer(self, release: Release, revision: int) -> Outcome:
        if self._faults_of(release):
            return super().offer(release, revision)
        return self._apply(release, release.position(revision))


class FirstOfNumberWins(ReleaseTable):
    """Wrong: of two releases of one number keeps the first it received."""

    def offer(self, release: Release, revision: int) -> Outcome:
        if release.number == self.position.number:
            return Ignored(release.position(revision))
        return super().offer(release, revision)


class ReleaseUnchecked(ReleaseTable):
    """Wrong: doesn't check the whole set of objects."""

    def _faults_of(self, release: Release) -> tuple[str, ...]:
        return ()


class RefusedBlocksLesser(ReleaseTable):
    """Wrong: a refused release blocks releases with lesser numbers."""

    def offer(self, release: Release, revision: int) -> Outcome:
        numbers = [refusal.position.number for refusal in self.refused.values()]
        if release.number <= max(numbers, default=0):
            return Ignored(release.position(revision))
        return super().offer(release, revision)


class UpdateUnverified(Replica):
    """Wrong: applies changes to any release in force, without verifying."""

    def apply_update(self, update, now, source=''):
        header = msgspec.json.decode(update.header, type=ReleaseHeader)
        payload = inflate(update.payload)
        changes = msgspec.json.decode(payload, type=ReleaseChanges)
        held = self.releases.release
        objects = list(held.objects.values()) if held else []
        objects.extend(map(decode_object, map(bytes, changes.changed)))
        release = Release.from_objects(header.number, header.parent, objects)
        release = attrs.evolve(release, digest=header.digest)
        return Ok(self.offer_release(release, update.revision, now))


class AgesFromRequests(Replica):
    """Wrong: uses the ages in requests, however long those were in transit."""

    def receive_summary(self, summary: Summary, now, elapsed=None):
        return super().receive_summary(summary, now, elapsed or 0)


class ReadyAtOnce(Readiness):
    """Wrong: ready before the store or any peer has replied."""

    def is_ready(self, now: float, position: Position) -> bool:
        return True


def check_machine(machine: type[ReplicaMachine], examples: int) -> None:
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=20,
            deadline=None,
            database=None,
            derandomize=True,
            phases=[Phase.generate],
            suppress_health_check=list(HealthCheck),
        ),
    )


def test_promises_hold_in_all_histories() -> None:
    check_machine(ReplicaMachine, 100)


@pytest.mark.parametrize(
    ('variant', 'check'),
    [
        (LastReceivedWins, 'check_position_never_falls'),
        (FirstOfNumberWins, 'check_converged'),
        (ReleaseUnchecked, 'check_release_is_valid'),
        (RefusedBlocksLesser, 'check_converged'),
        (UpdateUnverified, 'check_release_is_valid'),
        (AgesFromRequests, 'check_ages'),
        (ReadyAtOnce, 'check_ready'),
    ],
)
def test_wrong_variants_are_caught(variant: type, check: str) -> None:
    attributes = {
        ReleaseTable: 'table_class',
        Replica: 'replica_class',
        Readiness: 'readiness_class',
    }
    name = next(
        attributes[base] for base in variant.__mro__ if base in attributes
    )
    machine = type(
        'WrongMachine',
        (ReplicaMachine,),
        {name: variant, 'checks_convergence': check == 'check_converged'},
    )
    with pytest.raises(AssertionError) as caught:
        check_machine(machine, 3_000)
    assert caught.traceback[-1].name == check
