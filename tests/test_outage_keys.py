"""Tests that callers' own keys are served during an outage of the store."""

import random
import time
from collections.abc import Iterator

import pytest

from egretlanding.keys import make_uuid7
from egretlanding.ownership import MAX_LIST_AGE_S
from standins.fleet import Answer, wait_until
from tests.callfleet import (
    INGRESS_HOST,
    OTHER_INGRESS_HOST,
    PLACEMENTS,
    CallFleet,
)

# Time after the start of the fleet within which all hosts accept keys, seconds.
SETTLE_LIMIT_S = 100
RNG = random.Random(7)


@pytest.fixture
def calls() -> Iterator[CallFleet]:
    fleet = CallFleet.start(PLACEMENTS[:4])
    yield fleet
    fleet.close()


def send(
    calls: CallFleet, key: str, ingress_host: str = INGRESS_HOST
) -> Answer:
    """Sends an order whose body is its key."""
    return calls.order(key, 'front', ingress_host, idempotency_key=key)


def new_key() -> str:
    """Returns a key that a caller generates."""
    return make_uuid7(time.time(), RNG).text


def test_callers_own_keys_run_once_through_an_outage(calls: CallFleet) -> None:
    def are_all_served() -> bool:
        answers = [send(calls, new_key()) for _ in range(6)]
        return all(answer.status == 200 for answer in answers)

    wait_until(are_all_served, SETTLE_LIMIT_S)
    calls.fleet.set_faults(outage=True)
    time.sleep(MAX_LIST_AGE_S + 5)
    # Each of the two hosts owns some of the keys.
    keys = [new_key() for _ in range(12)]
    first = [send(calls, key) for key in keys]
    again = [send(calls, key, OTHER_INGRESS_HOST) for key in keys]
    assert [answer.status for answer in first + again] == [200] * 24
    assert [answer.body for answer in first] == [a.body for a in again]
    assert {a.headers['x-egretlanding-replayed'] for a in again} == {'yes'}
    runs = [calls.runs(name) for name in (INGRESS_HOST, OTHER_INGRESS_HOST)]
    assert all(sum(run_counts[key] for run_counts in runs) == 1 for key in keys)
    assert all(any(run_counts[key] for key in keys) for run_counts in runs)
