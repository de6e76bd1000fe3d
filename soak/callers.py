"""Callers that send requests on persistent connections and record outcomes."""

import itertools
import random
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
            path, idempotent = self.rng.choice(tuple(self.get_paths().items()))
            self.history.record(self.send_request(path, idempotent=idempotent))
            if self.rng.random() < 1 / REQUESTS_PER_CONNECTION:
                self.close()

    def send_request(self, path: str, *, idempotent: bool) -> CallerRequest:
        """Sends one request, waits for its end and returns its outcome."""
        request_id = f'r{next(REQUEST_NUMBERS)}'
        sent = clock()
        status, body = self.post(request_id, path)
        return CallerRequest(
            request_id,
            self.member.advertised_address,
            path,
            idempotent,
            sent,
            clock(),
            status,
            body,
        )

    def post(self, request_id: str, path: str) -> tuple[int, str]:
        """Sends a POST request.

        Returns:
            The status and body of the answer; a status of zero if the
            connection ended without an answer.
        """
        if self.connection is None:
            port = self.member.ports['callers']
            self.connection = HTTPConnection(
                self.member.address,
                port,
                timeout=CLIENT_TIMEOUT_S,
            )
        headers = {
            'Host': ROUTE_HOST,
            'Request-Id': request_id,
            'Deadline-Ms': str(DEADLINE_MS),
        }
        try:
            self.connection.request('POST', path, headers=headers)
            answer = self.connection.getresponse()
            return answer.status, answer.read().decode('latin-1')
        except (OSError, HTTPException):
            # The outcome is recorded with status zero.
            self.close()
            self.stopping.wait(RECONNECT_PAUSE_S)
            return 0, ''

    def close(self) -> None:
        """Closes the connection; the next request opens a new one."""
        if self.connection:
            self.connection.close()
        self.connection = None
