"""Tests with real processes that calls with a key run at most once."""

import json
import signal
import time
import uuid
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.faults import DirectionFaults, LinkRule
from standins.fleet import Answer, wait_until
from tests.callfleet import (
    INGRESS_HOST,
    OTHER_INGRESS_HOST,
    PLACEMENTS,
    SOLO,
    CallFleet,
    has_expected_body,
)

CUT_AFTER_BYTES = (0, 60, 150, 400, 1_000)


@pytest.fixture(scope='module')
def calls() -> Iterator[CallFleet]:
    fleet = CallFleet.start(PLACEMENTS[:4])
    yield fleet
    fleet.close()


def send(
    calls: CallFleet,
    key: str,
    body: str,
    ingress_host: str = INGRESS_HOST,
    **headers: str,
) -> Answer:
    """Sends a call with an idempotency key through an ingress."""
    return calls.order(
        body, ingress_host=ingress_host, idempotency_key=key, **headers
    )


def reason(answer: Answer) -> str:
    """Returns the reason of a refusal, empty if there is none."""
    return answer.headers.get('x-egretlanding-reason', '')


def test_a_resend_to_another_ingress_gets_the_same_answer(
    calls: CallFleet,
) -> None:
    key = calls.issue_key()
    first = send(calls, key, 'twice', x_answer_bytes='9000')
    again = send(calls, key, 'twice', OTHER_INGRESS_HOST, x_answer_bytes='9000')
    assert has_expected_body(first, 'twice', 9_000)
    assert first.body == again.body
    assert again.headers['x-egretlanding-replayed'] == 'yes'
    assert calls.runs()['twice'] == 1
    other = send(calls, key, 'another')
    assert (other.status, reason(other)) == (422, 'key-reused')
    assert calls.runs()['another'] == 0


def test_resends_while_the_call_runs_join_it(calls: CallFleet) -> None:
    key = calls.issue_key()

    def resend(number: int) -> Answer:
        ingress_host = (INGRESS_HOST, OTHER_INGRESS_HOST)[number % 2]
        return send(calls, key, 'joined', ingress_host, x_service_ms='400')

    with ThreadPoolExecutor(8) as pool:
        answers = list(pool.map(resend, range(8)))
    assert {(answer.status, answer.body) for answer in answers} == {
        (200, answers[0].body),
    }
    assert calls.runs()['joined'] == 1


def test_a_resend_after_a_late_answer_gets_it(calls: CallFleet) -> None:
    key = calls.issue_key()
    # The target is slow, and the reply is delayed on its way back as well.
    with calls.rules('peer', LinkRule(to_client=DirectionFaults(delay_ms=300))):
        late = send(calls, key, 'late', x_service_ms='150', x_timeout_ms='200')
        assert late.ran_header == 'unknown'
        again = send(calls, key, 'late', OTHER_INGRESS_HOST, x_service_ms='150')
    assert (again.status, again.ran_header) == (200, 'yes')
    assert calls.runs()['late'] == 1


@pytest.mark.parametrize('link', ['peer', 'target'])
@pytest.mark.parametrize('direction', ['to_server', 'to_client'])
def test_resends_around_cuts_run_once(
    calls: CallFleet,
    link: str,
    direction: str,
) -> None:
    for cut in CUT_AFTER_BYTES:
        key = calls.issue_key()
        body = f'cut-{link}-{direction}-{cut}'
        rule = LinkRule(**{direction: DirectionFaults(close_after=cut)})
        with calls.rules(link, rule):
            first = send(calls, key, body, x_timeout_ms='600')
        calls.wait_served()
        second = send(calls, key, body, OTHER_INGRESS_HOST)
        runs = calls.runs()[body]
        assert runs <= 1, (body, first, second)
        assert second.status != 200 or runs == 1
        # The daemon beside the target must not lose its record of the key.
        assert link == 'target' or (second.status, runs) == (200, 1)


def test_a_split_owner_is_not_replaced(calls: CallFleet) -> None:
    key = calls.issue_key()
    with calls.rules('peer', LinkRule(cut=True)):
        split = send(calls, key, 'split', x_timeout_ms='800')
    calls.wait_served()
    healed = send(calls, key, 'split', OTHER_INGRESS_HOST)
    assert (split.ran_header, healed.status) == ('unknown', 200)
    assert calls.runs()['split'] == 1


def test_a_frozen_owner_runs_the_call_at_most_once(calls: CallFleet) -> None:
    key = calls.issue_key()
    solo = calls.member(SOLO)
    assert solo.daemon
    solo.daemon.send_signal(signal.SIGSTOP)
    frozen = [
        send(calls, key, 'frozen', ingress_host, x_timeout_ms='300')
        for ingress_host in (INGRESS_HOST, OTHER_INGRESS_HOST, INGRESS_HOST)
    ]
    time.sleep(2.2)
    solo.daemon.send_signal(signal.SIGCONT)
    calls.wait_served()
    resumed = send(calls, key, 'frozen', OTHER_INGRESS_HOST)
    assert {answer.ran_header for answer in frozen} == {'unknown'}
    assert resumed.status == 200
    assert calls.runs()['frozen'] == 1


def test_unusable_keys_are_refused(calls: CallFleet) -> None:
    issued = calls.issue_key()
    # A daemon owns no caller's key until its host list is confirmed.
    wait_until(lambda: refusal_reason_of_new_key(calls) == 'key-unsettled', 5)
    expected = {
        'nonsense': 'key-malformed',
        str(uuid.uuid4()): 'key-malformed',
        f'{issued[:-1]}{"0" if issued[-1] != "0" else "1"}': 'key-malformed',
        '9' * 5_000: 'key-malformed',
        # A daemon that started recently may have missed earlier runs.
        new_uuid7(): 'key-unsettled',
        calls.issue_key('front'): 'key-reused',
    }
    actual = {key: reason(send(calls, key, 'refused')) for key in expected}
    assert actual == expected
    assert calls.runs()['refused'] == 0
    missing = calls.member(INGRESS_HOST).call(
        'POST', '/.egretlanding/keys/none'
    )
    assert (missing.status, missing.ran_header) == (404, 'no')


def test_a_key_outlives_neither_its_target_nor_its_daemon(
    calls: CallFleet,
) -> None:
    solo = calls.member(SOLO)
    assert solo.target
    assert solo.daemon
    keys = {body: calls.issue_key() for body in ('ran', 'dying', 'unused')}
    send(calls, keys['ran'], 'ran')
    with ThreadPoolExecutor(1) as pool:
        dying = pool.submit(
            send,
            calls,
            keys['dying'],
            'dying',
            x_service_ms='3000',
        )
        time.sleep(0.3)
        before = calls.runs()
        solo.target.kill()
        assert dying.result().ran_header == 'unknown'
    solo.settings['target_port'] = calls.target_port
    solo.start_target()
    calls.wait_served()
    again = send(calls, keys['dying'], 'dying', OTHER_INGRESS_HOST)
    assert again.ran_header == 'unknown'
    assert (before['ran'], before['dying']) == (1, 1)
    solo.daemon.kill()
    solo.daemon.wait()
    solo.start_daemon()
    calls.wait_served()
    orphaned = {
        body: send(calls, key, body, OTHER_INGRESS_HOST)
        for body, key in keys.items()
    }
    assert {reason(answer) for answer in orphaned.values()} == {
        'key-owner-gone',
    }
    assert {answer.ran_header for answer in orphaned.values()} == {'unknown'}
    after = calls.runs()
    assert [after[body] for body in keys] == [0, 0, 0], json.dumps(after)


def test_an_owner_that_refuses_connections_may_have_run_the_call(
    calls: CallFleet,
) -> None:
    key = calls.issue_key('front')
    names = (INGRESS_HOST, OTHER_INGRESS_HOST)
    owner_name = next(name for name in names if f':{name}:' in key)
    other_name = next(name for name in names if name != owner_name)
    owner = calls.member(owner_name)

    def resend() -> Answer:
        return calls.order('gone', 'front', other_name, idempotency_key=key)

    ran = resend()
    assert owner.daemon
    owner.daemon.kill()
    owner.daemon.wait()
    assert (ran.status, resend().ran_header, resend().ran_header) == (
        200,
        'unknown',
        'unknown',
    )


def refusal_reason_of_new_key(calls: CallFleet) -> str:
    """Returns the reason for refusing a key that a caller has just made."""
    return reason(send(calls, new_uuid7(), 'refused'))


def new_uuid7() -> str:
    """Returns a UUIDv7 of the current time, as callers make keys."""
    stamp = int(time.time() * 1_000) << 80
    return str(uuid.UUID(int=stamp | (7 << 76) | (2 << 62) | 12_345))
