"""Callers that send requests on persistent connections and record outcomes."""

import itertools
import random
import select
import threading
from collections.abc import Callable
from http.client import HTTPConnection, HTTPException

import attrs

from soak.records import CallerRequest, History, clock
from standins.platformfleet import Member

DEADLINE_MS = 2_500
CLIENT_TIMEOUT_S = 4.0
MEAN_PAUSE_S = 0.08
RECONNECT_PAUSE_S = 0.05
ROUTE_HOST = 'one.example'
# Longest time for which a kept connection is idle before a request, seconds.
MAX_IDLE_S = 5.0
IDLE_POLL_S = 0.1
# Mean number of requests after which a connection is closed.
REQUESTS_PER_CONNECTION = 12
REQUEST_NUMBERS = itertools.count(1)


@attrs.define(eq=False)
class Caller:
    """Sends requests to one daemon until it is stopped.

    Attributes:
        member: The daemon's host.
        history: Where the outcomes are recorded.
        rng: Source of random choices.
        get_paths: Returns the paths of requests, and whether the route of
            each is idempotent.
        stopping: Set when the caller is to stop.
        connection: The open connection, None while there is none.
        thread: The thread that sends the requests.
    """

    member: Member
    history: History
    rng: random.Random
    get_paths: Callable[[], dict[str, bool]]
    stopping: threading.Event = attrs.field(factory=threading.Event)
    connection: HTTPConnection | None = None
    thread: threading.Thread = attrs.field(init=False)

    def start(self) -> None:
        """Starts sending requests in a thread."""
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def stop(self) -> None:
        """Stops sending requests and waits for the last one to end."""
        self.stopping.set()
        self.thread.join()

    def run(self) -> None:
        """Sends requests one after another."""
        while not self.stopping.wait(self.rng.expovariate(1 / MEAN_PAUSE_S)):
            self.send_any()
            if self.rng.random() < 1 / REQUESTS_PER_CONNECTION:
                self.close()

    def send_any(self) -> None:
        """Sends a request to a random path and records its outcome."""
        path, idempotent = self.rng.choice(tuple(self.get_paths().items()))
        self.history.record(self.send_request(path, idempotent=idempotent))

    def send_request(self, path: str, *, idempotent: bool) -> CallerRequest:
        """Sends one request, waits for its end and returns its outcome."""
        request_id = f'r{next(REQUEST_NUMBERS)}'
        sent = clock()
        status, body, written = self.post(request_id, path)
        return CallerRequest(
            request_id,
            self.member.advertised_address,
            path,
            idempotent,
            sent,
            clock(),
            status,
            body,
            written,
        )

    def post(self, request_id: str, path: str) -> tuple[int, str, float | None]:
        """Sends a POST request.

        Returns:
            The status and body of the answer, and when the last byte of the
            request was sent; a status of zero if the connection ended without
            an answer.
        """
        connection = self.connection or self.new_connection()
        written = None
        headers = {
            'Host': ROUTE_HOST,
            'Request-Id': request_id,
            'Deadline-Ms': str(DEADLINE_MS),
        }
        try:
            connection.request('POST', path, headers=headers)
            written = clock()
            answer = connection.getresponse()
            return answer.status, answer.read().decode('latin-1'), written
        except (OSError, HTTPException):
            # The outcome is recorded with status zero.
            self.close()
            self.stopping.wait(RECONNECT_PAUSE_S)
            return 0, '', written

    def new_connection(self) -> HTTPConnection:
        """Returns a new connection, which is opened by its first request."""
        self.connection = HTTPConnection(
            self.member.address,
            self.member.ports['callers'],
            timeout=CLIENT_TIMEOUT_S,
        )
        return self.connection

    def close(self) -> None:
        """Closes the connection; the next request opens a new one."""
        if self.connection:
            self.connection.close()
        self.connection = None


@attrs.define(eq=False)
class KeptCaller(Caller):
    """Keeps one connection open and mostly idle.

    It uses the connection until the daemon closes it, and then opens another
    at once.
    """

    def run(self) -> None:
        """Sends requests with long pauses between them."""
        while not self.stopping.is_set():
            self.stay_idle(self.rng.uniform(0, MAX_IDLE_S))
            if self.connection and not self.stopping.is_set():
                self.send_any()

    def stay_idle(self, seconds: float) -> None:
        """Waits, with an open connection as far as the daemon allows."""
        ends_at = clock() + seconds
        while clock() < ends_at and not self.stopping.is_set():
            if not self.is_open(min(IDLE_POLL_S, ends_at - clock())):
                self.reopen()

    def is_open(self, seconds: float) -> bool:
        """Returns whether the connection stays open for some time."""
        if not self.connection or not self.connection.sock:
            return False
        return not select.select([self.connection.sock], [], [], seconds)[0]

    def reopen(self) -> None:
        """Replaces the connection by a new one if the daemon accepts it."""
        self.close()
        try:
            self.new_connection().connect()
        except OSError:
            self.close()
            self.stopping.wait(RECONNECT_PAUSE_S)
