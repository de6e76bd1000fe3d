"""Measures the distribution of releases in a simulated fleet.

The baseline is a fleet whose daemons all read the store themselves.

Usage: python -m lab.fleet [convergence|herd] [size ...]
"""

import itertools
import math
import sys
import time
from collections import Counter
from collections.abc import Iterable, Sequence
from random import Random

import attrs

from egretlanding.hosts import Host
from egretlanding.objects import ConfigObject, Policy, Region, Route, Service
from egretlanding.release import Release
from egretlanding.replica import Replica, ReplicaConfig
from lab.baseline import converge_by_store
from lab.model import FleetModel
from lab.network import Network
from lab.store import STORE

SIZES = (50, 100, 200, 400)
HERD_SIZE = 1_300
SERVICES = 140
RELEASES = 20
RELEASE_GAP_S = 10
SETTLE_S = 60
IDLE_S = 60
HERD_DURATION_S = 120
SEED = 1
REGIONS = ('west', 'east')
ZONES_PER_REGION = 3
SEEDS_PER_ZONE = 2


@attrs.define
class SimulatedFleet:
    """A simulated fleet to which releases are published.

    Attributes:
        hosts: The hosts.
        random: Source of all random choices.
        network: Delays of messages between hosts.
        model: The replicas and the store.
        number: Number of the release published last.
        objects: Objects of that release.
    """

    hosts: tuple[Host, ...]
    random: Random
    network: Network
    model: FleetModel
    number: int = 0
    objects: dict[tuple[str, str], ConfigObject] = attrs.field(factory=dict)

    @classmethod
    def from_size(cls, size: int, seed: int) -> 'SimulatedFleet':
        """Builds a fleet of `size` hosts whose daemons haven't started."""
        hosts = tuple(make_hosts(size))
        random = Random(seed)
        network = Network.from_hosts(hosts, random)
        fleet = cls(
            hosts, random, network, FleetModel(build_unset, network.delays)
        )
        fleet.model.build = fleet.build
        network.clock = fleet.model
        fleet.objects = make_objects()
        return fleet

    def build(self, host_id: str, now: float) -> Replica:
        """Builds the replica of a host."""
        count = SEEDS_PER_ZONE * ZONES_PER_REGION * len(REGIONS)
        config = ReplicaConfig(
            host=self.network.hosts[host_id],
            incarnation=int(now) + 1,
            seeds=self.hosts[:count],
            store_region=REGIONS[0],
        )
        random = Random(self.random.random())
        return Replica.from_config(config, find_no_faults, random, now)

    def start_all(self) -> None:
        """Starts all daemons at once."""
        for host in self.hosts:
            self.model.start(host.host_id)

    def publish_change(self) -> Release:
        """Publishes a release in which one service has changed."""
        self.number += 1
        name = f's{self.random.randrange(SERVICES)}'
        slots = self.random.randrange(1, 64)
        service = Service(regions=REGIONS, slots=slots)
        self.objects['Service', name] = ConfigObject('Service', name, service)
        head = self.model.store.head
        parent = head[0].digest if head else ''
        release = Release.from_objects(
            self.number,
            parent,
            self.objects.values(),
        )
        self.model.publish(release)
        return release

    def count_outdated(self) -> int:
        """Returns the number of daemons without the release published last."""
        return sum(
            replica.releases.position.number < self.number
            for replica in self.model.replicas.values()
        )


def build_unset(host_id: str, now: float) -> Replica:
    """Fails; it is the model's `build` until its fleet exists."""
    raise NotImplementedError


def find_no_faults(objects: Iterable[ConfigObject]) -> tuple[str, ...]:
    """Accepts any objects; the cost of the check is measured elsewhere."""
    return ()


def make_hosts(size: int) -> Iterable[Host]:
    """Yields hosts spread evenly over regions and failure domains."""
    for number in range(size):
        region = REGIONS[number % len(REGIONS)]
        zone = number // len(REGIONS) % ZONES_PER_REGION
        yield Host(
            host_id=f'host-{number:04d}',
            address=f'10.{number // 250}.{number % 250}.1',
            call_port=8_080,
            peer_port=8_081,
            exchange_port=8_082,
            region=region,
            failure_domain=f'{region}-{zone}',
            service=f's{number % SERVICES}',
        )


def make_objects() -> dict[tuple[str, str], ConfigObject]:
    """Returns the objects of a mesh of `SERVICES` services."""
    regions = [
        ConfigObject('Region', name, Region(failure_domains=(name,)))
        for name in REGIONS
    ]
    policies = [ConfigObject('Policy', 'default', Policy())]
    services = [
        ConfigObject('Service', f's{number}', Service(regions=REGIONS))
        for number in range(SERVICES)
    ]
    routes = [
        ConfigObject(
            'Route',
            f'r{number}',
            Route(
                path_prefix=f'/s{number}',
                service=f's{number}',
                policy='default',
            ),
        )
        for number in range(SERVICES)
    ]
    objects = [*regions, *policies, *services, *routes]
    return {(config.kind, config.name): config for config in objects}


def percentile(samples: Sequence[float], share: float) -> float:
    """Returns the value below which a share of the samples lies."""
    ordered = sorted(samples)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def measure_convergence(fleet: SimulatedFleet) -> list[float]:
    """Publishes a release and waits until the next one is due.

    Returns:
        The time from the publication to each daemon, seconds; the whole
        interval for a daemon that did not get the release.
    """
    fleet.publish_change()
    published_at = fleet.model.now
    outdated = fleet.count_outdated()
    times: list[float] = []
    while fleet.model.now < published_at + RELEASE_GAP_S:
        fleet.model.advance(0.01 if outdated else 1)
        before, outdated = outdated, fleet.count_outdated()
        times.extend([fleet.model.now - published_at] * (before - outdated))
    times.extend([RELEASE_GAP_S] * outdated)
    return times


def count_link_bytes(sent: Counter[tuple[str, str]], network: Network) -> int:
    """Returns the bytes sent over the link between the regions."""
    return sum(size for pair, size in sent.items() if network.is_link(*pair))


def count_peer_bytes(sent: Counter[tuple[str, str]]) -> int:
    """Returns the bytes that daemons sent to each other."""
    return sum(size for pair, size in sent.items() if STORE not in pair)


def report_convergence(size: int) -> str:
    """Measures one fleet size; returns a row of the table."""
    fleet = SimulatedFleet.from_size(size, SEED)
    model = fleet.model
    model.publish_hosts(fleet.hosts)
    fleet.publish_change()
    fleet.start_all()
    model.advance(SETTLE_S)
    model.sent.clear()
    model.messages.clear()
    model.store.reads.clear()
    started_at = time.process_time()
    model.advance(IDLE_S)
    idle_cpu_s = (time.process_time() - started_at) / IDLE_S / size
    idle = [
        sum(model.messages.values()) / IDLE_S / size,
        count_peer_bytes(model.sent) / IDLE_S / size,
        max(count_daemon_bytes(model.sent).values()) / IDLE_S,
        count_link_bytes(model.sent, fleet.network) / IDLE_S,
        model.store.reads.total() / IDLE_S,
    ]
    model.sent.clear()
    model.store.reads.clear()
    times = [
        sample for _ in range(RELEASES) for sample in measure_convergence(fleet)
    ]
    changing_s = RELEASES * RELEASE_GAP_S
    per_change = [
        (count_peer_bytes(model.sent) - idle[1] * size * changing_s)
        / RELEASES
        / size,
        (count_link_bytes(model.sent, fleet.network) - idle[3] * changing_s)
        / RELEASES,
        (model.store.reads.total() - idle[4] * changing_s) / RELEASES,
    ]
    figures = [
        *(percentile(times, share) for share in (0.5, 0.99, 1)),
        *idle,
        *per_change,
        idle_cpu_s * 1_000,
    ]
    return format_row(size, figures)


def count_daemon_bytes(sent: Counter[tuple[str, str]]) -> Counter[str]:
    """Returns the bytes that each daemon sent or received."""
    total: Counter[str] = Counter()
    for pair, size in sent.items():
        total.update(dict.fromkeys(set(pair) - {STORE}, size))
    return total


def format_row(label: object, figures: Iterable[float]) -> str:
    """Returns a row of a table."""
    texts = [f'{figure:.4g}' for figure in figures]
    cells = ' | '.join([str(label), *texts])
    return f'| {cells} |'


def report_herd(size: int, label: str, *, down: bool, isolated: bool) -> str:
    """Starts all daemons at once; returns a row of the table.

    Args:
        size: Number of hosts.
        label: Label of the row.
        down: Whether the store gives no answer.
        isolated: Whether no daemon reaches another one.
    """
    fleet = SimulatedFleet.from_size(size, SEED)
    model = fleet.model
    model.publish_hosts(fleet.hosts)
    fleet.publish_change()
    model.store.down = down
    fleet.network.isolated = isolated
    fleet.start_all()
    ready_s = 0
    for second in range(1, HERD_DURATION_S + 1):
        model.advance(1)
        ready_s = ready_s or second * (count_ready(model) == size)
    reads = model.store.reads
    return format_row(
        label,
        [
            max(reads.values()),
            reads.total() / HERD_DURATION_S,
            count_ready(model),
            ready_s or math.inf,
        ],
    )


def count_ready(model: FleetModel) -> int:
    """Returns the number of daemons that are ready."""
    return sum(
        replica.is_ready(model.now) for replica in model.replicas.values()
    )


def report_sizes(sizes: Sequence[int]) -> None:
    """Prints convergence and costs by fleet size, then the baseline's."""
    for size in sizes:
        print(report_convergence(size), flush=True)
    for size in sizes:
        figures = converge_by_store(SimulatedFleet.from_size(size, SEED))
        print(format_row(f'{size} (store)', figures), flush=True)


def report_herds(size: int) -> None:
    """Prints how many reads the store gets when all daemons start at once."""
    for down, isolated in itertools.product((False, True), repeat=2):
        store = 'down' if down else 'up'
        peers = 'cut' if isolated else 'reachable'
        label = f'store {store}, peers {peers}'
        line = report_herd(size, label, down=down, isolated=isolated)
        print(line, flush=True)


def main() -> None:
    """Runs the measurements that the command line names."""
    experiments = sys.argv[1:2] or ['convergence', 'herd']
    sizes = [int(text) for text in sys.argv[2:]]
    if 'convergence' in experiments:
        report_sizes(sizes or SIZES)
    if 'herd' in experiments:
        report_herds(*(sizes or [HERD_SIZE]))


if __name__ == '__main__':
    main()
