"""Tests of the format and the rate limit of log lines."""

import json
import os

from egretlanding.events import Event, Severity
from egretlanding.linelog import LINES_BURST, MAX_BUFFERED_BYTES, LineLog


def open_log() -> tuple[LineLog, int]:
    """Returns a log that writes to a pipe, and the read end of the pipe."""
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    return LineLog(write_end, lambda: 1, lambda: 2, 'host-1'), read_end


def read_lines(log: LineLog, read_end: int) -> list[dict]:
    """Flushes the log and returns the written lines, decoded."""
    log.flush()
    return [
        json.loads(line) for line in os.read(read_end, 1 << 20).splitlines()
    ]


def write(log: LineLog, **fields: object) -> None:
    """Writes one event with these fields."""
    log.write(Event.CALL_REFUSED, 'refused', Severity.INFO, fields)


def test_a_field_cannot_forge_a_line() -> None:
    log, read_end = open_log()
    write(log, request='x"}\n{"event": 1}', odd=object)
    written = read_lines(log, read_end)
    line = written[0]
    assert len(written) == 1
    assert line['request'] == 'x"}\n{"event": 1}'
    assert line['name'] == 'call_refused'


def test_a_flood_of_lines_is_bounded_and_counted() -> None:
    log, read_end = open_log()
    for _ in range(10 * LINES_BURST):
        write(log)
    log.summarize()
    last = read_lines(log, read_end)[-1]
    assert last['by_event'] == {'call_refused': 9 * LINES_BURST}
    assert log.written == LINES_BURST + 1


def test_a_stalled_reader_loses_lines_without_blocking() -> None:
    log, read_end = open_log()
    for number in range(20_000):
        log.append(Event.TASK_FAILED, 'x' * 50, Severity.INFO, {'n': number})
    assert len(log.buffered) < 2 * MAX_BUFFERED_BYTES
    assert log.lost
    os.read(read_end, 1 << 20)
    log.summarize()
    assert not log.lost
    assert log.dropped
