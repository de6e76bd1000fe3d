"""The one client of the platform's store."""

from http import HTTPStatus
from typing import Any
from urllib.parse import urlencode

import attrs
import msgspec
from twisted.internet.defer import Deferred

from egretlanding.exceptions import HistoryLostError, PlatformError
from egretlanding.httpmessages import HttpRequest, HttpResponse
from egretlanding.platform.names import ITEM_LIST_PATH, WATCH_PATH
from egretlanding.recordfeed import Changes, Page
from egretlanding.records import Record
from egretlanding.targetpool import TargetOutcome, TargetPool

# Time that an answer may take beyond the time that it was asked to wait.
ANSWER_S = 1.5
WATCH_ANSWER_S = 0.6
MS_PER_S = 1_000
CONNECTIONS = 4
CONNECT_S = 1
LATER = 'wait; it is asked again soon'


class Item(msgspec.Struct):
    """A key of the store, or that it was deleted.

    Attributes:
        key: The key.
        revision: When it was written.
        value: What was written, in base64.
        tombstone: Whether it was deleted.
    """

    key: str
    revision: int
    value: bytes = b''
    tombstone: bool = False


class ItemList(msgspec.Struct, rename='kebab'):
    """A page of the list of items.

    Attributes:
        items: The items.
        truncated: Whether more follow.
        current_rev: The store's revision.
    """

    items: list[Item]
    truncated: bool
    current_rev: int


class EventList(msgspec.Struct, rename='kebab'):
    """What a watch returned.

    Attributes:
        events: What was written.
        current_rev: Where the next watch goes on.
    """

    events: list[Item]
    current_rev: int


@attrs.define(eq=False)
class PlatformStore:
    """Reads the platform's store over HTTP.

    Attributes:
        pool: Connections to the store.
    """

    pool: TargetPool

    @classmethod
    def from_address(
        cls,
        reactor: Any,
        address: str,
        port: int,
    ) -> 'PlatformStore':
        """Builds a client that has no connection yet."""
        pool = TargetPool(
            reactor,
            address,
            port,
            CONNECTIONS,
            connect_timeout_s=CONNECT_S,
        )
        return cls(pool)

    @property
    def distance_s(self) -> float:
        """Shortest time in which a connection was opened, seconds."""
        return self.pool.fastest_connect_s

    async def read_page(self, after: str) -> Page:
        """Reads the records whose keys follow a key."""
        query = {'prefix': '', **({'after': after} if after else {})}
        response = await self.get(ITEM_LIST_PATH, query, ANSWER_S)
        body = decode(response, ItemList)
        records = tuple(map(to_record, body.items))
        return Page(records, body.current_rev, not body.truncated)

    async def watch(self, after: int, wait_s: float) -> Changes:
        """Waits for records that are written after a revision."""
        query = {
            'prefix': '',
            'after': str(after),
            'wait-ms': str(int(wait_s * MS_PER_S)),
        }
        response = await self.get(WATCH_PATH, query, wait_s + WATCH_ANSWER_S)
        body = decode(response, EventList)
        return Changes(tuple(map(to_record, body.events)), body.current_rev)

    async def get(
        self,
        path: str,
        query: dict[str, str],
        timeout_s: float,
    ) -> HttpResponse:
        """Makes a call.

        Raises:
            PlatformError: No answer came in time, or one that says no.
            HistoryLostError: The store has forgotten what was asked for.
        """
        answered: Deferred[TargetOutcome] = Deferred()
        request = HttpRequest('GET', f'{path}?{urlencode(query)}', [], b'')
        ticket = self.pool.run(request, [], answered.callback)
        timer = self.pool.reactor.callLater(timeout_s, ticket.cancel)
        outcome = await answered
        if timer.active():
            timer.cancel()
        if outcome.response is None:
            raise PlatformError(f'the store did not answer {path}', LATER)
        status = outcome.response.status
        if status == HTTPStatus.GONE:
            raise HistoryLostError(
                'the store has forgotten the changes that were asked for',
                'none; the whole list is read',
            )
        if status != HTTPStatus.OK:
            raise PlatformError(f'the store answered {status} to {path}', LATER)
        return outcome.response


def to_record(item: Item) -> Record:
    """Returns an item as a record."""
    return Record(item.key, item.revision, item.value, item.tombstone)


def decode(response: HttpResponse, of_type: Any) -> Any:
    """Decodes the body of an answer.

    Raises:
        PlatformError: It can't be read.
    """
    try:
        return msgspec.json.decode(response.body, type=of_type)
    except msgspec.MsgspecError as error:
        raise PlatformError(
            f"the store's answer can not be read ({error})",
            LATER,
        ) from error
