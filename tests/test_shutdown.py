"""Tests that graceful stops lose no call in flight, with real processes."""

import signal
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from http import client

import pytest

from standins.fleet import Answer
from tests.callfleet import (
    INGRESS_HOST,
    LONG_TIMEOUT,
    ORDERS,
    CallFleet,
    Load,
    has_expected_body,
)

BATCH_MS = 3_000
STOP_TIMEOUT_S = 10


@pytest.fixture
def calls() -> Iterator[CallFleet]:
    fleet = CallFleet.start()
    yield fleet
    fleet.close()


def run_batch(
    calls: CallFleet,
    ingress_host: str,
    service: str,
    body: str,
) -> Answer:
    """Sends one long call through an ingress daemon."""
    return calls.member(ingress_host).call(
        'POST',
        f'/{service}/batch',
        body.encode(),
        x_service_ms=str(BATCH_MS),
        x_answer_bytes='100000',
    )


def test_calls_in_flight_survive_stops_of_daemons_and_targets(
    calls: CallFleet,
) -> None:
    load = Load(calls)
    ingress = calls.member('front-1')
    with ThreadPoolExecutor(8) as pool, load.running():
        batches = [
            pool.submit(run_batch, calls, host_id, 'orders', f'batch-{number}')
            for number, host_id in enumerate(
                (INGRESS_HOST, INGRESS_HOST, INGRESS_HOST, 'front-1')
            )
        ]
        time.sleep(0.5)
        stopped = [
            ingress.daemon,
            calls.member(ORDERS[1]).daemon,
            calls.member(ORDERS[3]).target,
        ]
        for process in stopped:
            assert process
            process.send_signal(signal.SIGTERM)
        answers = [future.result() for future in batches]
        codes = [process.wait(STOP_TIMEOUT_S) for process in stopped if process]
        time.sleep(0.5)
    for number, answer in enumerate(answers):
        assert has_expected_body(answer, f'batch-{number}', 100_000), answer
    assert codes == [0, 0, 0]
    assert {answer.status for answer in load.answers} == {200}
    runs = calls.runs(*ORDERS[:3])
    assert max(runs.values()) == 1


def test_a_draining_ingress_answers_with_connection_close(
    calls: CallFleet,
) -> None:
    ingress = calls.member(INGRESS_HOST)
    port = ingress.settings['call_port']
    connection = client.HTTPConnection('127.0.0.1', port, timeout=20)
    connection.request('GET', '/solo/lookup')
    first = connection.getresponse()
    first.read()
    assert ingress.daemon
    ingress.daemon.send_signal(signal.SIGTERM)
    time.sleep(0.3)
    connection.request('GET', '/solo/lookup')
    last = connection.getresponse()
    assert (first.status, last.status) == (200, 200)
    assert last.getheader('connection') == 'close'
    assert ingress.daemon.wait(STOP_TIMEOUT_S) == 0


# Guards against a daemon that ends with calls in flight when it gets SIGHUP.
def test_a_hangup_does_not_end_a_daemon(calls: CallFleet) -> None:
    ingress = calls.member(INGRESS_HOST)
    with ThreadPoolExecutor(1) as pool:
        batch = pool.submit(run_batch, calls, INGRESS_HOST, 'solo', 'held')
        time.sleep(0.3)
        assert ingress.daemon
        ingress.daemon.send_signal(signal.SIGHUP)
        assert has_expected_body(batch.result(), 'held', 100_000)
    assert ingress.daemon.poll() is None


def test_calls_to_a_stopping_owner_do_not_run(calls: CallFleet) -> None:
    owner = calls.member('solo-0')
    key = calls.issue_key()
    with ThreadPoolExecutor(2) as pool:
        batch = pool.submit(run_batch, calls, INGRESS_HOST, 'solo', 'held')
        time.sleep(0.3)
        assert owner.daemon
        owner.daemon.send_signal(signal.SIGTERM)
        time.sleep(0.3)
        plain = calls.order('plain', **LONG_TIMEOUT)
        keyed = calls.order('keyed', idempotency_key=key, **LONG_TIMEOUT)
        assert has_expected_body(batch.result(), 'held', 100_000)
    assert (plain.ran_header, keyed.ran_header) == ('no', 'no')
    assert owner.daemon.wait(STOP_TIMEOUT_S) == 0
    assert calls.runs() == {'held': 1}
