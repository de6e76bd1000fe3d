"""Tests with real sockets of how a caller's connection closes."""

import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from egretlanding.httpserver import LINGER_S, MAX_LINGER_BYTES

ROOT = Path(__file__).parent.parent
BODY_BYTES = 2_000_000
# Answers each request after a body of this size.
SERVER = f"""
from twisted.internet import reactor
from twisted.internet.task import LoopingCall
from egretlanding.httpmessages import HttpResponse
from egretlanding.httpserver import HttpServerFactory

def handle(exchange):
    exchange.respond(HttpResponse(200, [], b'x' * {BODY_BYTES}))

factory = HttpServerFactory(handle)
port = reactor.listenTCP(0, factory, interface='127.0.0.1')
print(port.getHost().port, flush=True)
LoopingCall(factory.check_timeouts).start(0.2)
reactor.run()
"""
LAST = b'GET /1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n'
BEHIND = b'GET /2 HTTP/1.1\r\nhost: a\r\n\r\n'
TIMEOUT_S = 10


@pytest.fixture(name='port')
def start_server() -> Iterator[int]:
    process = subprocess.Popen(
        [sys.executable, '-c', SERVER],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout
    try:
        yield int(process.stdout.readline())
    finally:
        process.kill()
        process.communicate()


def connect(port: int) -> socket.socket:
    """Opens a connection that holds few bytes which nobody has read."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
    caller.settimeout(TIMEOUT_S)
    caller.connect(('127.0.0.1', port))
    return caller


def read_all(caller: socket.socket) -> bytes:
    """Reads until the end of the connection."""
    pieces = iter(lambda: caller.recv(65_536), b'')
    return b''.join(pieces)


# Failure: a caller that had sent a request behind its last one lost the end of
# the answer to a reset, since the connection closed with unread bytes.
def test_a_request_behind_the_last_one_cuts_no_answer(port: int) -> None:
    with connect(port) as caller:
        caller.sendall(LAST)
        for _ in range(3):
            time.sleep(0.1)
            caller.sendall(BEHIND)
        answer = read_all(caller)
    assert answer.startswith(b'HTTP/1.1 200')
    assert answer.count(b'HTTP/1.1') == 1
    assert len(answer.partition(b'\r\n\r\n')[2]) == BODY_BYTES


def test_an_answer_to_a_malformed_request_arrives_whole(port: int) -> None:
    with connect(port) as caller:
        caller.sendall(b'GET /1 HTTP/1.1\r\nhost: a\r\n\r\nno request\r\n\r\n')
        time.sleep(0.1)
        caller.sendall(b'and more\r\n' * 10)
        answer = read_all(caller)
    assert b'HTTP/1.1 400' in answer
    first_body = answer.partition(b'\r\n\r\n')[2]
    assert first_body.startswith(b'x' * BODY_BYTES)


def test_a_caller_that_goes_on_sending_is_cut(port: int) -> None:
    with connect(port) as caller:
        caller.sendall(LAST)
        sent = 0
        with pytest.raises(OSError, match=r'reset|pipe'):
            while sent < 100 * MAX_LINGER_BYTES:
                sent += caller.send(b'x' * 65_536)
                caller.recv(65_536)


def test_a_caller_that_does_not_close_is_closed(port: int) -> None:
    with connect(port) as caller:
        caller.sendall(LAST)
        read_all(caller)
        time.sleep(LINGER_S + 1)
        with pytest.raises(OSError, match=r'reset|pipe'):
            for _ in range(3):
                caller.sendall(b'x')
                time.sleep(0.1)
