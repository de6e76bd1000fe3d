"""An HTTP client of the platform's store."""

from http import HTTPStatus
from typing import Any
from urllib.parse import urlencode

import attrs
import msgspec
from twisted.internet.defer import Deferred

from egretlanding.answerbuffers import AnswerBuffers
from egretlanding.events import Event, Severity, log_event
from egretlanding.exceptions import (
    HistoryLostError,
    PlatformError,
    UnreadableAnswerError,
)
from egretlanding.httpheaders import header_values
from egretlanding.httpmessages import HttpRequest, HttpResponse
from egretlanding.platform.names import (
    CONFIG_KEY,
    ENTRY_PREFIX,
    ERA_HEADER,
    ITEM_LIST_PATH,
    OPERATOR_PREFIX,
    WATCH_PATH,
)
from egretlanding.recordfeed import Changes, Page
from egretlanding.records import Record, Topic
from egretlanding.targetpool import TargetOutcome, TargetPool
from egretlanding.transfer import MAX_TRANSFER_S, TransferTimer

# Longest time until a page begins to arrive, seconds.
REPLY_TIMEOUT_S = 1.5
# Longest time until the answer to a watch begins, beyond its wait, seconds.
WATCH_MARGIN_S = 0.6
# What the keys of a topic's records begin with.
PREFIXES = {Topic.CONFIGURATION: CONFIG_KEY, Topic.ENTRIES: ENTRY_PREFIX}
MS_PER_S = 1_000
# Most bytes of an item's value. The store ends a page once its items have about
# a megabyte, so that a page holds less than two such values.
MAX_VALUE_BYTES = 1_048_576
MAX_PAGE_VALUES = 2
MAX_PAGE_ITEMS = 500
# Most bytes of an item without its value; a key has 200 at most.
MAX_ITEM_HEAD_BYTES = 2_048
# Most bytes of an answer. Base64 writes three bytes as four.
MAX_ANSWER_BYTES = (
    MAX_PAGE_VALUES * MAX_VALUE_BYTES * 4 // 3
    + MAX_PAGE_ITEMS * MAX_ITEM_HEAD_BYTES
)
MAX_CONNECTIONS = 4
CONNECT_TIMEOUT_S = 1
RETRY_REMEDY = 'wait; the call is repeated soon'
LIST_REMEDY = 'wait; the daemon lists all records page by page'
# An answer that is nested too deep exhausts the decoder's stack.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)


class Item(msgspec.Struct):
    """A key of the store with its value, or its deletion.

    Attributes:
        key: The key.
        revision: The store's revision at which it was written.
        value: The bytes that were written, in base64 on the wire.
        tombstone: Whether it was deleted.
    """

    key: str
    revision: int
    value: bytes = b''
    tombstone: bool = False


class ItemHead(msgspec.Struct):
    """The fields of an item without which nothing is known of it.

    Attributes:
        key: The key.
        revision: The store's revision at which it was written.
    """

    key: str
    revision: int


ITEM_DECODER = msgspec.json.Decoder(Item)
ITEM_HEAD_DECODER = msgspec.json.Decoder(ItemHead)


class ItemList(msgspec.Struct, rename='kebab'):
    """A page of the list of items.

    Attributes:
        items: The items, each encoded.
        truncated: Whether more items follow on the next page.
        current_rev: The store's revision when the page was read.
    """

    items: list[msgspec.Raw]
    truncated: bool
    current_rev: int


class EventList(msgspec.Struct, rename='kebab'):
    """The answer to a watch.

    Attributes:
        events: The items that were written or deleted, each encoded.
        current_rev: The revision after which the next watch begins.
    """

    events: list[msgspec.Raw]
    current_rev: int


@attrs.define(eq=False)
class PlatformStore:
    """Reads the platform's store over HTTP.

    Attributes:
        pool: Connections to the store.
        prefix: What the keys of the records to read begin with.
        reads_evacuations: Whether evacuations are read with the configuration.
    """

    pool: TargetPool
    prefix: str = ''
    reads_evacuations: bool = False

    @classmethod
    def from_address(
        cls,
        reactor: Any,
        address: str,
        port: int,
        *,
        reads_evacuations: bool = False,
    ) -> 'PlatformStore':
        """Builds a client without opening a connection."""
        pool = TargetPool(
            reactor,
            address,
            port,
            MAX_CONNECTIONS,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            buffers=AnswerBuffers(MAX_ANSWER_BYTES),
        )
        return cls(pool, reads_evacuations=reads_evacuations)

    def for_topic(self, topic: Topic) -> 'PlatformStore':
        """Returns a client for the records of one topic."""
        prefix = PREFIXES[topic]
        if self.reads_evacuations and topic is Topic.CONFIGURATION:
            prefix = OPERATOR_PREFIX
        return attrs.evolve(self, prefix=prefix)

    @property
    def distance_s(self) -> float:
        """Shortest time in which a connection was opened, seconds."""
        return self.pool.fastest_connect_s

    async def read_page(self, after: str) -> Page:
        """Reads the records whose keys follow a key."""
        query = {'prefix': self.prefix, **({'after': after} if after else {})}
        response, transfer_s = await self.get(
            ITEM_LIST_PATH, query, REPLY_TIMEOUT_S
        )
        body = decode(response, ItemList)
        return Page(
            decode_items(body.items),
            body.current_rev,
            not body.truncated,
            era_of(response),
            transfer_s,
        )

    async def watch(self, after: int, wait_s: float) -> Changes:
        """Waits for records that are written after a revision."""
        query = {
            'prefix': self.prefix,
            'after': str(after),
            'wait-ms': str(int(wait_s * MS_PER_S)),
        }
        response, transfer_s = await self.get(
            WATCH_PATH, query, wait_s + WATCH_MARGIN_S
        )
        body = decode(response, EventList)
        return Changes(
            decode_items(body.events),
            body.current_rev,
            era_of(response),
            transfer_s,
        )

    async def get(
        self,
        path: str,
        query: dict[str, str],
        first_byte_s: float,
    ) -> tuple[HttpResponse, float]:
        """Sends a GET request to the store.

        Args:
            path: The path.
            query: The query.
            first_byte_s: Longest time until the answer begins, seconds.

        Returns:
            The answer, and the time that it took to arrive once it had begun,
            seconds.

        Raises:
            PlatformError: There was no answer in time, or a status other than
                200.
            UnreadableAnswerError: The answer is too long, or too slow to end
                in time.
            HistoryLostError: The store no longer has the requested changes.
        """
        outcome_ready: Deferred[TargetOutcome] = Deferred()
        request = HttpRequest('GET', f'{path}?{urlencode(query)}', [], b'')
        cancellation = self.pool.run(request, [], outcome_ready.callback)
        timer = TransferTimer.of_request(
            self.pool.reactor, cancellation, first_byte_s
        )
        outcome = await outcome_ready
        timer.stop()
        if outcome.response is None:
            is_slow = timer.transfer_s() >= MAX_TRANSFER_S
            raise unanswered(path, is_too_long=outcome.is_too_long or is_slow)
        status = outcome.response.status
        if status == HTTPStatus.GONE:
            raise HistoryLostError(
                'the store no longer has the requested changes',
                'none; the daemon lists all records again',
            )
        if status != HTTPStatus.OK:
            raise PlatformError(
                f'the store answered {status} to {path}', RETRY_REMEDY
            )
        return outcome.response, timer.transfer_s()


def unanswered(path: str, *, is_too_long: bool) -> PlatformError:
    """Returns the error of a request that got no whole answer."""
    if is_too_long:
        return UnreadableAnswerError(
            f"the store's answer to {path} is too long", LIST_REMEDY
        )
    return PlatformError(f'the store did not answer {path}', RETRY_REMEDY)


def decode_items(items: list[msgspec.Raw]) -> tuple[Record, ...]:
    """Returns the records of encoded items.

    One item that can't be read doesn't keep the others back.
    """
    records = map(decode_item, items)
    return tuple(record for record in records if record)


def decode_item(encoded: msgspec.Raw) -> Record | None:
    """Returns the record of an encoded item.

    If only its value can't be read, the record is empty, so that it stands for
    no target or configuration. An item without a readable key or revision has
    no record.
    """
    try:
        item = ITEM_DECODER.decode(encoded)
    except DECODE_ERRORS as error:
        log_event(
            Event.RECORDS_REFUSED,
            'cannot decode an item of the store',
            Severity.WARNING,
            error=str(error),
        )
        return empty_record(encoded)
    return Record(item.key, item.revision, item.value, item.tombstone)


def empty_record(encoded: msgspec.Raw) -> Record | None:
    """Returns a record without content for an item, if its key is readable."""
    try:
        head = ITEM_HEAD_DECODER.decode(encoded)
    except DECODE_ERRORS:
        return None
    return Record(head.key, head.revision)


def era_of(response: HttpResponse) -> int:
    """Returns how often the store was restored, zero if it doesn't say.

    Raises:
        PlatformError: The header isn't a whole number.
    """
    text = next(iter(header_values(response.headers, ERA_HEADER)), '0')
    if not text.isascii() or not text.isdigit():
        raise PlatformError(
            f'the store names the era {text!r}, which is not a number',
            RETRY_REMEDY,
        )
    return int(text)


def decode(response: HttpResponse, of_type: Any) -> Any:
    """Decodes the body of an answer.

    Raises:
        UnreadableAnswerError: The body can't be decoded.
    """
    try:
        return msgspec.json.decode(response.body, type=of_type)
    except DECODE_ERRORS as error:
        raise UnreadableAnswerError(
            f"cannot decode the store's answer ({error})",
            LIST_REMEDY,
        ) from error
