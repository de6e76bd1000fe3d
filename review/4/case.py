"""A request that crashes servers is let through again after planned restarts.

One request crashes each server that begins to run it, and comes again every two
seconds at any machine. After three crashes no daemon passes it on. Then all
daemons are stopped and started again in turn, twice, as planned work.
"""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

import kit  # noqa: E402

STABLE_WINDOW_S = 3
GRACE_S = 6
ROLLS, GAP_S = 2, 1.3
COMES_AGAIN_S = 2
AFTER_ROLL_S = 14
SERVER_DOWN_S = 2
MOST_RETRIES = 3


class CrashingServer(kit.Server):
    """Crashes when it begins to run the request, and is back after 2 s."""

    async def run(self, request, connection):
        if not request['path'].startswith('/crash/'):
            return await super().run(request, connection)
        self.world.reached.append((request['id'], self.name))
        self.world.record(f'{self.name}: runs {request["id"]}, which crashes it')
        asyncio.get_running_loop().call_later(0.005, self.go_down)
        return await asyncio.sleep(60, b'')

    def go_down(self):
        self.crash()
        self.tasks.append(asyncio.create_task(self.come_back()))

    async def come_back(self):
        await asyncio.sleep(SERVER_DOWN_S)
        await self.restart()


class CrashingWorld(kit.World):
    def make_server(self, *details):
        return CrashingServer(self, *details)


async def restart(world, daemon, touched):
    """Stops a daemon as the platform does, and starts it again."""
    touched[daemon.name] = float('inf')
    world.record(f'{daemon.name}: SIGTERM')
    daemon.process.send_signal(signal.SIGTERM)
    ends = time.monotonic() + GRACE_S
    while daemon.process.poll() is None and time.monotonic() < ends:
        await asyncio.sleep(0.05)
    daemon.end()
    await daemon.start()
    touched[daemon.name] = time.monotonic()


async def case(world):
    world.reached = []
    touched = {}
    zones = list(kit.ZONES)
    routes = {
        'r-orders': kit.route('/crash/', 'glossary', 'unsafe'),
        'r-lookup': kit.route('/lookup/', 'glossary'),
    }
    machines = [('glossary', zones[n % 4]) for n in range(6)]
    await world.start(machines, kit.config(3, routes, ['glossary']))
    stops = asyncio.Event()
    retries = {}

    async def comes_again():
        while not stops.is_set():
            machine = random.randrange(len(machines))
            name = world.daemons[machine].name
            sent_at = time.monotonic()
            in_touch = sent_at - touched.get(name, 0) > STABLE_WINDOW_S
            sent, *_ = await world.request(
                machine, '/crash/x', 'POST', b'one kit', 1500
            )
            retries[sent] = sent_at, in_touch
            await asyncio.sleep(COMES_AGAIN_S)

    async def lookups(machine):
        count = 0
        while not stops.is_set():
            count += 1
            await world.request(machine, f'/lookup/{machine}/{count}')
            await asyncio.sleep(0.1)

    clients = [asyncio.create_task(comes_again())]
    clients += [
        asyncio.create_task(lookups(machine))
        for machine in range(len(machines))
    ]
    while len(world.reached) < 3:
        await asyncio.sleep(0.1)
    third_at = time.monotonic()
    world.record('the request has crashed the third server')
    await asyncio.sleep(6)
    for _ in range(ROLLS):
        if kit.TROUBLE:
            restarts = []
            for daemon in world.daemons:
                restarts.append(
                    asyncio.create_task(restart(world, daemon, touched))
                )
                await asyncio.sleep(GAP_S)
            await asyncio.gather(*restarts)
        await asyncio.sleep(AFTER_ROLL_S)
    stops.set()
    await asyncio.gather(*clients)
    late = {
        sent
        for sent, _ in world.reached
        if retries[sent][1] and retries[sent][0] > third_at + STABLE_WINDOW_S
    }
    world.record(
        f'{len(world.reached)} arrivals of the request at servers, of which '
        f'{len(late)} retries were sent by machines in touch later than '
        f'{STABLE_WINDOW_S} s after the third crash'
    )
    if len(late) > MOST_RETRIES:
        return [f'BUDGET: {len(late)} retries have reached servers']
    return []


kit.play(FOLDER, case, CrashingWorld)
