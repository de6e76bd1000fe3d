"""The numbered log events, and the function that logs them."""

import enum
import importlib
from collections.abc import Callable


class Event(enum.IntEnum):
    """The number of each log event; docs/EVENTS.md is the catalogue."""

    DAEMON_STARTED = 100
    DAEMON_READY = 101
    DAEMON_DRAINING = 102
    DAEMON_STOPPED = 103
    DAEMON_WOKE = 104
    DRAIN_WAITING = 105
    DRAIN_ENDED = 106
    SETTINGS_REFUSED = 110
    TASK_FAILED = 111
    LINES_LEFT_OUT = 113
    SETTINGS_RELOADED = 114
    EXCHANGE_PORT_TAKEN = 112
    RELEASE_APPLIED = 200
    RELEASE_REFUSED = 201
    RELEASE_CONFLICT = 202
    RELEASE_UNUSABLE = 203
    STORE_UNREACHABLE = 210
    STORE_REACHABLE = 211
    STORE_STALE = 212
    WATCH_STARTED = 213
    WATCH_STOPPED = 214
    HOSTS_UPDATED = 220
    HOSTS_REFUSED = 221
    PEER_UNREACHABLE = 230
    PEER_REACHABLE = 231
    PEER_LOST = 232
    PEER_SILENT = 233
    HISTORY_LOST = 215
    RECORDS_REFUSED = 216
    RECORDS_LISTED = 217
    STORE_RESTORED = 218
    RECORDS_TAKEN = 219
    READER_APPOINTED = 226
    RECORDS_SHORTENED = 227
    ENTRY_REFUSED = 222
    TARGET_LISTED = 223
    TARGET_GONE = 224
    ENTRY_OUTDATED = 225
    EVACUATION_BEGUN = 228
    EVACUATION_ENDED = 229
    TARGET_UNREACHABLE = 300
    TARGET_REACHABLE = 301
    TARGET_SHUNNED = 302
    TARGET_RESTORED = 303
    TARGET_LIMITED = 304
    TARGET_LEAVING = 305
    STATEMENT_REFUSED = 306
    TARGET_COLD = 307
    CAPACITY_LEARNED = 308
    TARGET_SILENT = 309
    TARGET_HEARD = 313
    CALL_QUARANTINED = 310
    CALL_RELEASED = 311
    CALL_TRIED = 312
    SHARES_NEEDED = 320
    SHARES_UNNEEDED = 321
    CALL_ANSWERED = 400
    CALL_REFUSED = 401
    CALL_FAILED = 402
    CALL_RETRIED = 403
    CALL_HEDGED = 404
    CALL_ABANDONED = 405
    ANSWER_LOST = 406
    CALLERS_LIMITED = 407
    RUN_REFUSED = 410
    RUN_LOST = 411
    RUN_CANCELLED = 412
    ANSWER_CUT = 413


class Severity(enum.Enum):
    """How urgent an event is."""

    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


Sink = Callable[[Event, str, Severity, dict[str, object]], None]


def log_with_absl(
    event: Event,
    message: str,
    severity: Severity,
    fields: dict[str, object],
) -> None:
    """Writes one event as `E<number> <message> key=value ...`.

    The library takes up 3 MB of memory. It is loaded with the first event,
    since a daemon with its own sink doesn't need it.
    """
    logging = importlib.import_module('absl.logging')
    details = ''.join(f' {key}={value}' for key, value in fields.items())
    logging.log(
        getattr(logging, severity.name),
        'E%d %s%s',
        event.value,
        message,
        details,
    )


# Events go to the first sink only; a daemon with its own log format inserts its
# sink there.
SINKS: list[Sink] = [log_with_absl]


def log_event(
    event: Event,
    message: str,
    severity: Severity = Severity.INFO,
    **fields: object,
) -> None:
    """Logs one event with the first sink.

    Args:
        event: The event's number.
        message: What happened, in one clause.
        severity: How urgent it is.
        fields: Details, logged in the order of the arguments.
    """
    SINKS[0](event, message, severity, fields)
