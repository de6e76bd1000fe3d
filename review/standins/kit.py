"""Stand-ins for the platform, servers and clients, for the cases of a review.

Everything runs in one asyncio process, besides the daemons, which are started
with the command of the deploy file. Only the standard library is used, and all
addresses are loopback addresses.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
ZONES = {
    'mobile-a': 'gulf-coast',
    'charlotte-a': 'piedmont',
    'baton-rouge-b': 'gulf-coast',
    'greenville-b': 'piedmont',
}
# Bounds of the site, seconds.
DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
HEARTBEAT_S = 0.87
HOST = 'hulo84.example'
PORTS = {
    'inbound': 8300,
    'app': 8301,
    'ready': 8302,
    'outbound': 8304,
    'control': 8306,
}
METRICS_PORT = 9464
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = (Path(folder) / 'record.txt').open('w')
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write(f'{self.now():9.3f} {text}\n')
        self.file.flush()


async def read_head(reader):
    """Returns the first line and the headers of a message."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Returns the body of a message, with a length or in chunks."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get('content-length') or 0))


def encode(status, headers, body=b'', bodiless=False):
    """Returns an encoded answer."""
    lines = [f'HTTP/1.1 {status} x']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if not bodiless:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def answer_json(content, status=200, era=1):
    headers = {'Content-Type': 'application/json', 'Store-Era': era}
    return encode(status, headers, json.dumps(content).encode())


class Store:
    """The platform's store. Each daemon reads it at a port of its own.

    `turned_away` holds the ports at which each request gets 503.
    """

    def __init__(self, address):
        self.address = address
        self.items = {}
        self.history = []
        self.revision = 100
        self.changed = asyncio.Condition()
        self.turned_away = set()
        self.listeners = []

    async def open_port(self):
        port = None

        async def serve(reader, writer):
            await self.serve(reader, writer, port)

        server = await asyncio.start_server(serve, self.address, 0)
        port = server.sockets[0].getsockname()[1]
        self.listeners.append(server)
        return port

    async def write(self, key, value):
        """Writes a value, or deletes the key if it is None."""
        async with self.changed:
            self.revision += 1
            if value is None:
                self.items.pop(key, None)
                event = {
                    'key': key,
                    'revision': self.revision,
                    'tombstone': True,
                }
            else:
                raw = value if isinstance(value, bytes) else json.dumps(
                    value
                ).encode()
                created = self.items.get(key, {}).get(
                    'create-revision', self.revision
                )
                event = {
                    'key': key,
                    'value': base64.b64encode(raw).decode(),
                    'revision': self.revision,
                    'create-revision': created,
                    'lease': 0,
                }
                self.items[key] = event
            self.history.append(event)
            self.changed.notify_all()
            return self.revision

    def list_items(self, prefix, after):
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        page = [self.items[key] for key in keys[:500]]
        return {
            'items': page,
            'truncated': len(keys) > len(page),
            'current-rev': self.revision,
        }

    async def watch(self, prefix, after, wait_s):
        def events():
            return [
                event
                for event in self.history
                if event['revision'] > after
                and event['key'].startswith(prefix)
            ]

        async with self.changed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self.changed.wait_for(events), wait_s
                )
            return {'events': events(), 'current-rev': self.revision}

    async def serve(self, reader, writer, port):
        try:
            while True:
                first, headers = await read_head(reader)
                await read_body(reader, headers)
                parts = urlsplit(first.split(' ')[1])
                query = {
                    name: values[0]
                    for name, values in parse_qs(parts.query).items()
                }
                await asyncio.sleep(0.004)
                if port in self.turned_away:
                    writer.write(answer_json({}, 503))
                    continue
                prefix = query.get('prefix', '')
                if parts.path == '/-/kv-range':
                    content = self.list_items(prefix, query.get('after', ''))
                elif parts.path == '/-/kv-watch':
                    content = await self.watch(
                        prefix,
                        int(query['after']),
                        int(query['wait-ms']) / 1000,
                    )
                else:
                    found = self.items.get(query.get('key', ''))
                    content = {**(found or {}), 'current-rev': self.revision}
                writer.write(answer_json(content))
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


class Server:
    """The application server of a machine; keeps its entry in the store."""

    def __init__(self, world, name, address, service, zone, slots=6):
        self.world = world
        self.name = name
        self.address = address
        self.service = service
        self.zone = zone
        self.slots = slots
        self.instance = f'i-{random.getrandbits(40):010x}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.listed = True
        self.runs = []
        self.free = asyncio.Semaphore(slots)
        self.waiting = 0
        self.work_s = 0.04
        self.tasks = []
        self.stamps = itertools.count(1)
        self.on_run = None
        self.connections = set()

    async def start(self):
        self.listener = await asyncio.start_server(
            self.serve, self.address, PORTS['app']
        )
        await self.beat()
        self.tasks.append(asyncio.create_task(self.beats()))

    async def beat(self):
        self.sequence += 1
        await self.world.store.write(
            f'servers/{self.instance}',
            {
                'address': f'{self.address}:{PORTS["app"]}',
                'info': {
                    'service': self.service,
                    'version': 'v1',
                    'zone': self.zone,
                    'slots': self.slots,
                },
                'status': {
                    'state': self.state,
                    'sequence': self.sequence,
                    'cold-remaining': '0ms',
                },
                'born': self.born,
            },
        )

    async def beats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.listed:
                await self.beat()

    async def leave(self):
        """Removes the entry, without having reported that it is draining."""
        self.listed = False
        await self.world.store.write(f'servers/{self.instance}', None)
        self.world.record(f'{self.name}: entry removed, acked by the store')

    def stamp(self):
        return f'{self.instance}.{next(self.stamps)}'

    async def answer(self, request, connection):
        """Returns the encoded answer to a request that ran."""
        body = f'{self.name} {request["id"]}'.encode()
        return encode(
            200,
            {'Request-Id': request['id'], 'Server-Stamp': self.stamp()},
            body,
        )

    async def run(self, request, connection):
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.runs.append({**request, 'at': time.monotonic()})
            self.world.record(
                f'{self.name}: runs {request["id"]} {request["method"]} '
                f'{request["path"]} caller {request["caller"]}'
            )
            if self.on_run:
                await self.on_run(request)
            await asyncio.sleep(self.work_s)
            return await self.answer(request, connection)

    async def serve(self, reader, writer):
        connection = {'writer': writer}
        self.connections.add(writer)
        pending = None
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = first.split(' ')
                request = {
                    'id': headers.get('request-id', ''),
                    'method': method,
                    'path': path,
                    'caller': headers.get('caller', ''),
                    'deadline': headers.get('deadline-ms', ''),
                    'body': body,
                }
                expected = headers.get('expect-instance')
                if expected and expected != self.instance:
                    refusal = {
                        'Request-Id': request['id'],
                        'Instance': self.instance,
                    }
                    writer.write(encode(421, refusal))
                    continue
                if path == '/health':
                    writer.write(encode(200, {'Instance': self.instance}))
                    continue
                if self.waiting >= 24:
                    refusal = {'Request-Id': request['id'], 'Not-Run': '1'}
                    writer.write(encode(503, refusal))
                    continue
                # The run ends if the connection is closed meanwhile.
                pending = asyncio.create_task(self.run(request, connection))
                closed = asyncio.create_task(wait_closed(reader))
                await asyncio.wait(
                    {pending, closed}, return_when=asyncio.FIRST_COMPLETED
                )
                if not pending.done():
                    pending.cancel()
                    self.world.record(
                        f'{self.name}: {request["id"]} dropped, its '
                        'connection was closed before the answer'
                    )
                    return
                closed.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await closed
                writer.write(await pending)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def stop(self):
        for task in self.tasks:
            task.cancel()
        self.tasks = []

    def crash(self):
        """Ends the process: its port closes and its connections are reset."""
        self.stop()
        self.listener.close()
        for writer in tuple(self.connections):
            writer.transport.abort()
        self.world.record(f'{self.name}: the server crashed')

    async def restart(self):
        """Starts another process of the server, with a new id."""
        await self.world.store.write(f'servers/{self.instance}', None)
        self.instance = f'i-{random.getrandbits(40):010x}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.free = asyncio.Semaphore(self.slots)
        self.waiting = 0
        await self.start()
        self.world.record(f'{self.name}: the server is back')


async def wait_closed(reader):
    """Returns once the other side has closed the connection."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.005)


def render(template, fields):
    """Fills in the template of the settings, as DEPLOY tells it."""

    def value_of(name, scope):
        found = scope
        for part in name.split('.'):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match):
        entries = value_of(match[1], fields) or []
        named = (
            list(entries.items())
            if isinstance(entries, dict)
            else list(enumerate(entries))
        )
        return ''.join(
            match[2]
            .replace('{{@}}', str(key))
            .replace('{{.}}', str(entry))
            .replace('{{,}}', ',' if place < len(named) - 1 else '')
            for place, (key, entry) in enumerate(named)
        )

    def single(match):
        found = value_of(match[1], fields)
        return '' if found is None else str(found)

    text = re.sub(r'\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}', section, template)
    return re.sub(r'\{\{([\w.-]+)\}\}', single, text)


class Daemon:
    """A daemon, started with the command of the deploy file."""

    def __init__(self, world, name, address, service, zone):
        self.world = world
        self.name = name
        self.address = address
        self.service = service
        self.zone = zone
        self.process = None
        self.starts = 0

    async def start(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['daemon']
        if self.starts == 0:
            self.store_port = await self.world.store.open_port()
        fields = {
            'ip': self.address,
            'zone': self.zone,
            'region': ZONES[self.zone],
            'zones': ZONES,
            'listen': {
                name: f'{self.address}:{PORTS[name]}'
                for name in ('inbound', 'outbound', 'ready', 'control')
            },
            'seeds': self.world.seeds,
            'app': f'{self.address}:{PORTS["app"]}',
            'service': self.service,
            'platform': {
                'address': f'{self.world.store.address}:{self.store_port}'
            },
            'bounds': {
                'retry-budget-ratio': 0.2,
                'budget-slack': 60,
                'budget-window': '10s',
                'grace': '6s',
            },
            'limits': {'link-mbps': 1000.0},
        }
        settings = self.world.folder / f'{self.name}.yaml'
        template = (ROOT / role['template']).read_text()
        settings.write_text(render(template, fields))
        kept = ('PATH', 'HOME', 'JAVA_HOME', 'LANG')
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env['EGRETLANDING_CONFIG'] = str(settings)
        self.log = (self.world.folder / f'{self.name}.log').open('ab')
        self.process = subprocess.Popen(
            role['run'].split(' '),
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        self.starts += 1
        self.world.record(f'{self.name}: daemon started')

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(
                exchange(self.address, PORTS['ready'], '/-/readiness'), 1
            )
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        return status == 200

    async def wait_ready(self, limit_s=30):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CaseError(f'{self.name} ended while it started')
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CaseError(f'{self.name} is not ready after {limit_s} s')

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()
            self.log.close()


class CaseError(Exception):
    """The case couldn't run."""


async def exchange(address, port, path, method='GET', body=b'', **headers):
    """Sends a request on a new connection; returns status, headers, body."""
    reader, writer = await asyncio.open_connection(address, port)
    try:
        await send(writer, address, path, method, body, headers)
        return await receive(reader, method)
    finally:
        writer.close()


async def send(writer, host, path, method, body, headers):
    lines = [f'{method} {path} HTTP/1.1']
    named = {
        name.replace('_', '-'): value for name, value in headers.items()
    }
    named.setdefault('Host', host)
    lines += [f'{name}: {value}' for name, value in named.items()]
    if body or method in {'POST', 'PUT'}:
        lines.append(f'Content-Length: {len(body)}')
    writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
    await writer.drain()


async def receive(reader, method='GET'):
    while True:
        first, headers = await read_head(reader)
        status = int(first.split(' ')[1])
        if status >= 200:
            break
    bodiless = method == 'HEAD' or status in {204, 304}
    body = b'' if bodiless else await read_body(reader, headers)
    return status, headers, body


class World:
    """Machines with a daemon and a server each, and the platform."""

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.base = free_base()
        self.store = Store(f'{self.base}.5')
        self.daemons = []
        self.servers = []
        self.seeds = []
        self.numbers = itertools.count(1)
        self.loop_tasks = []

    async def start(self, machines, config):
        """Starts machines, given as (service, zone), and waits for them."""
        addresses = [f'{self.base}.{10 + n}' for n in range(len(machines))]
        self.seeds = [f'{one}:{PORTS["control"]}' for one in addresses[:3]]
        await self.store.write('op/config', config)
        for number, (service, zone) in enumerate(machines):
            name = f'machine-{number}'
            address = addresses[number]
            self.servers.append(
                self.make_server(name, address, service, zone)
            )
            self.daemons.append(Daemon(self, name, address, service, zone))
        for server in self.servers:
            await server.start()
        for daemon in self.daemons:
            await daemon.start()
        for daemon in self.daemons:
            await daemon.wait_ready()
        await asyncio.sleep(2)
        self.record('all daemons are ready')

    def make_server(self, name, address, service, zone):
        return Server(self, name, address, service, zone)

    def new_id(self):
        return f'{next(self.numbers):06d}{random.getrandbits(40):010x}'

    async def request(
        self, machine, path, method='GET', body=b'', deadline_ms=3000
    ):
        """Sends a client's request to the daemon of a machine."""
        request_id = self.new_id()
        name = self.daemons[machine].name
        self.record(f'client: {request_id} {method} {path} sent to {name}')
        try:
            status, headers, answer = await asyncio.wait_for(
                exchange(
                    self.daemons[machine].address,
                    PORTS['outbound'],
                    path,
                    method,
                    body,
                    Host=HOST,
                    Request_Id=request_id,
                    Deadline_Ms=deadline_ms,
                ),
                deadline_ms / 1000,
            )
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self.record(f'client: {request_id} got no answer ({error!r})')
            return request_id, 0, {}, b''
        self.record(
            f'client: {request_id} got {status} for request-id '
            f'{headers.get("request-id", "none")} stamp '
            f'{headers.get("server-stamp", "none")} {answer[:60]!r}'
        )
        return request_id, status, headers, answer

    def end(self):
        for server in self.servers:
            server.stop()
        for daemon in self.daemons:
            daemon.end()
        if os.environ.get('KEEP_LOGS'):
            print('logs are in', self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def free_base():
    """Returns the start of loopback addresses at which all ports are free."""
    for _ in range(50):
        base = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        try:
            for number in range(10, 40):
                for port in (*PORTS.values(), METRICS_PORT):
                    with socket.socket() as probe:
                        probe.setsockopt(
                            socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
                        )
                        probe.bind((f'{base}.{number}', port))
        except OSError:
            continue
        return base
    raise CaseError('no free loopback addresses')


def config(version, routes, services):
    """Returns a configuration as the operator writes it."""
    return {
        'version': version,
        'routes': routes,
        'services': {
            name: {
                'health-path': '/health',
                'max-connections': 120,
                'protocol': 'h1',
                'tls': False,
            }
            for name in services
        },
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 67108864,
            'header-timeout': '3000ms',
            'idle-timeout': '15000ms',
        },
    }


def route(prefix, service, kind='safe', **changes):
    return {
        'host': HOST,
        'prefix': prefix,
        'route-kind': kind,
        'timeout': '2500ms',
        'target-latency': '500ms',
        'priority': 1,
        'service': service,
        'max-attempts': 2,
        **{name.replace('_', '-'): value for name, value in changes.items()},
    }


def play(folder, case, make_world=World):
    """Runs a case, which returns the faults that it saw; exits with 0 to 2."""
    if not (ROOT / 'target/deps').is_dir():
        print('target/deps is missing; run the build of the deploy file')
        sys.exit(2)
    try:
        world = make_world(folder)
    except CaseError as error:
        print(error)
        sys.exit(2)
    # A stop of the script ends the daemons too.
    signal.signal(signal.SIGTERM, lambda *_args: sys.exit(2))
    code = 2
    try:
        faults = asyncio.run(asyncio.wait_for(case(world), 114))
        for fault in faults:
            world.record(f'BROKEN: {fault}')
            print(f'BROKEN: {fault}')
        world.record(f'{len(faults)} breaks of the rule')
        code = 1 if faults else 0
    except Exception as error:
        world.record(f'the case could not run: {error!r}')
        traceback.print_exc()
    finally:
        world.end()
    sys.exit(code)
