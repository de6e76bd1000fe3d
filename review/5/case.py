"""An entry with missing fields sends calls to a server that is leaving.

A server leaves as the pages tell: it says so in all its answers, its entry in
the store says `draining`, and it goes on serving for some seconds. Later than
`drain`, another writer writes one entry with missing fields under its key.
"""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

import kit  # noqa: E402

CLIENTS = 24
# How long the server serves on after its report, seconds.
SERVES_ON_S = 12
# When the other writer writes, after the report, seconds.
ODD_ENTRY_AT_S = 5


class LeavingServer(kit.Server):
    says_leaving = False

    async def answer(self, request, connection):
        headers = {'Request-Id': request['id'], 'Server-Stamp': self.stamp()}
        if self.says_leaving:
            headers['Server-Leaving'] = '1'
        return kit.encode(200, headers, request['id'].encode())


class LeavingWorld(kit.World):
    def make_server(self, name, address, service, zone):
        kind = LeavingServer if service == 'billing' else kit.Server
        return kind(self, name, address, service, zone)


async def case(world):
    routes = {'r-orders': kit.route('/orders/', 'billing', 'unsafe')}
    machines = [
        ('glossary', 'mobile-a'),
        ('billing', 'mobile-a'),
        ('billing', 'baton-rouge-b'),
    ]
    await world.start(
        machines, kit.config(3, routes, ['glossary', 'billing'])
    )
    leaving = world.servers[1]
    for server in world.servers:
        server.work_s = 0.1
    sent_at = {}
    passed_on = []
    stops = asyncio.Event()

    async def client(number):
        count = 0
        while not stops.is_set():
            count += 1
            began = time.monotonic()
            sent, _, headers, _ = await world.request(
                0, f'/orders/{number}/{count}', 'POST', b'one kit', 2500
            )
            sent_at[sent] = began
            if headers.get('server-leaving'):
                passed_on.append(time.monotonic())
            await asyncio.sleep(0.03)

    clients = [asyncio.create_task(client(n)) for n in range(CLIENTS)]
    await asyncio.sleep(2)
    leaving.says_leaving = True
    world.record(f'{leaving.name}: says in its answers that it leaves')
    await asyncio.sleep(0.5)
    leaving.state = 'draining'
    await leaving.beat()
    acked = time.monotonic()
    world.record(f'{leaving.name}: draining, acked by the store')
    await asyncio.sleep(ODD_ENTRY_AT_S)
    sequence = leaving.sequence
    while leaving.sequence == sequence:
        await asyncio.sleep(0.01)
    # Some time before the server's next heartbeat.
    await asyncio.sleep(0.1)
    if kit.TROUBLE:
        await world.store.write(
            f'servers/{leaving.instance}',
            {
                'address': f'{leaving.address}:{kit.PORTS["app"]}',
                'info': {
                    'service': leaving.service,
                    'zone': leaving.zone,
                    'slots': leaving.slots,
                },
                'status': {'state': 'ready'},
            },
        )
        world.record(
            f'another writer: entry {leaving.instance} without version, '
            'sequence, cold-remaining and born'
        )
    await asyncio.sleep(SERVES_ON_S - ODD_ENTRY_AT_S)
    stops.set()
    await asyncio.gather(*clients)
    if not passed_on:
        raise kit.CaseError('no answer with Server-Leaving was passed on')
    first_passed = passed_on[0]
    faults = []
    for run in leaving.runs:
        sent = sent_at[run['id']]
        if sent > first_passed + kit.DRAIN_S:
            faults.append(
                f'DRAIN: {run["id"]} reached {leaving.name}, sent '
                f'{sent - first_passed:.2f} s after its machine had passed '
                'on an answer with Server-Leaving and '
                f'{sent - acked:.2f} s after the store had acknowledged '
                'that the server is draining'
            )
    return faults


kit.play(FOLDER, case, LeavingWorld)
