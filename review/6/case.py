"""BUDGET: new routes make the daemons forget that a request crashes servers."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / 'standins-2'))
from kit import route, run_case

STABLE_WINDOW_S = 3.0
ALLOWED = 3
POISON = '/jobs/eu/north/crash'
# Routes with longer prefixes, one more in each of two later versions.
ADDED = ('/jobs/eu/', '/jobs/eu/north/')


async def play(fleet, trouble):
    fronts = [fleet.add('front', zone) for zone in ('za', 'zb', 'zc')]
    servers = [fleet.add('jobs', zone)
               for zone in ('za', 'za', 'zb', 'zb', 'zc', 'zc')]
    routes = {'r-jobs': route('jobs', '/jobs/', 'unsafe', '3s')}
    fleet.configure(1, routes)
    await fleet.begin()
    stop = asyncio.Event()
    answers = []

    async def usual(front):
        number = 0
        while not stop.is_set():
            number += 1
            answers.append(await fleet.call(
                front, 'POST', f'/jobs/{front.ip}-{number}?work=60', 1500))
            await asyncio.sleep(0.02)

    async def poison():
        number = 0
        while not stop.is_set():
            number += 1
            calls.append(asyncio.ensure_future(fleet.call(
                fronts[number % 3], 'POST', POISON, 1500, b'the same body')))
            await asyncio.sleep(0.5)

    def crashes():
        return sorted(at for server in servers
                      for at, _, path, _ in server.runs if path == POISON)

    calls = []
    loading = [asyncio.ensure_future(usual(front)) for front in fronts
               for _ in range(2)]
    await asyncio.sleep(1)
    poisoning = asyncio.ensure_future(poison())
    while len(crashes()) < 3:
        await asyncio.sleep(0.05)
    third = crashes()[2]
    fleet.record('the request has crashed the third server')
    for version, prefix in enumerate(ADDED, 2):
        await asyncio.sleep(5 if version == 2 else 10)
        if trouble:
            name = f'r-jobs-{version}'
            routes[name] = route('jobs', prefix, 'unsafe', '3s')
            fleet.configure(version, routes)
            fleet.record('the store acknowledges version', version,
                         'with one more route, to', prefix)
    await asyncio.sleep(10)
    stop.set()
    await asyncio.gather(*loading, poisoning, *calls)
    after = [round(at - third, 2) for at in crashes()]
    late = [at for at in after if at > STABLE_WINDOW_S]
    ran = {ident for server in servers for _, ident, *_ in server.runs}
    lost = [ident for ident, status, *_ in answers
            if status != 200 and ident in ran]
    fleet.record('reached servers, seconds since the third crash:', after)
    fleet.record(len(late), 'of these later than', STABLE_WINDOW_S,
                 's; allowed:', ALLOWED)
    fleet.record('other unsafe requests that ran and were lost with the '
                 'servers:', len(lost))
    return len(late) <= ALLOWED


sys.exit(run_case(Path(__file__).parent, play, slots=6))
