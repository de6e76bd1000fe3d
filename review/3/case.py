"""One route that may use six servers keeps a whole configuration out of force.

The operator's second configuration moves a route to another service, and adds
a route. In the trouble, one further route's `max-attempts` rises to 6, for a
service of six servers.
"""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

import kit  # noqa: E402

LASTS_S = 12
FIRST, SECOND = 3, 8


def routes_of(version):
    """Returns the routes of one of the two configurations."""
    is_second = version == SECOND
    attempts = 6 if is_second and kit.TROUBLE else 2
    routes = {
        'r-lookup': kit.route('/lookup/', 'glossary', max_attempts=attempts),
        'r-moved': kit.route(
            '/moved/', 'certify' if is_second else 'glossary', 'unsafe'
        ),
    }
    if is_second:
        routes['r-added'] = kit.route('/added/', 'glossary')
    return routes


async def case(world):
    services = ['glossary', 'certify']
    zones = list(kit.ZONES)
    machines = [('glossary', zones[n % 4]) for n in range(6)]
    machines.append(('certify', zones[0]))
    await world.start(
        machines, kit.config(FIRST, routes_of(FIRST), services)
    )
    await world.request(0, '/lookup/before')
    await world.store.write(
        'op/config', kit.config(SECOND, routes_of(SECOND), services)
    )
    acked = time.monotonic()
    world.record(f'operator: version {SECOND} acked by the store')
    # Requests count from `config-apply` after the acknowledgement on, for
    # which the machines must also have been in touch.
    await asyncio.sleep(kit.CONFIG_APPLY_S + 1)
    faults = []
    while time.monotonic() - acked < LASTS_S:
        for machine in (0, 1, 6):
            name = world.daemons[machine].name
            _, status, _, _ = await world.request(machine, '/added/x')
            if status == 404:
                faults.append(
                    f'CONFIG: {name} answers 404 on a route of version '
                    f'{SECOND}, {time.monotonic() - acked:.1f} s after its '
                    'acknowledgement'
                )
            sent, *_ = await world.request(machine, '/moved/x', 'POST', b'x')
            for server in world.servers:
                ran_here = sent in {run['id'] for run in server.runs}
                if ran_here and server.service == 'glossary':
                    faults.append(
                        f'CONFIG: {sent} sent to {name} ran at the service '
                        f'of version {FIRST}, '
                        f'{time.monotonic() - acked:.1f} s after the '
                        f'acknowledgement of version {SECOND}'
                    )
        await asyncio.sleep(0.5)
    # What a machine that starts again has in force, for the record alone.
    restarted = world.daemons[1]
    restarted.end()
    await restarted.start()
    await asyncio.sleep(5)
    ready = await restarted.is_ready()
    world.record(f'{restarted.name}: ready 5 s after a restart: {ready}')
    await world.request(1, '/lookup/after')
    return faults


kit.play(FOLDER, case)
