"""Tests that the call of each idempotency key runs at most once.

Daemons restart, lose contact with the store or with each other, and hold
different host lists. Classes marked as wrong lack one of the rules; the tests
must fail with each of them.
"""

import itertools
import random

import attrs
import pytest
from hypothesis import HealthCheck, Phase, given, settings, stateful
from hypothesis import strategies as st

from egretlanding.exceptions import KeyFormatError
from egretlanding.idempotency import (
    Answer,
    Join,
    KeyState,
    KeyTable,
    Replay,
    Run,
    request_digest,
)
from egretlanding.keys import CallerKey, issue_key, make_uuid7, parse_key
from egretlanding.outcomes import Execution, Reason, Refusal
from egretlanding.ownership import (
    ClockReading,
    KeyBounds,
    KeyOwnership,
    owner_id,
)

HOSTS = ('a', 'b', 'c')
START = 1_000_000
BOUNDS = KeyBounds(2, 10, 90, max_outage_s=60)
# Seconds. Wall clocks differ by at most BOUNDS.max_clock_skew_s.
CLOCK_ERRORS = {'a': -1, 'b': 0, 'c': 1}
DIGEST = request_digest('POST', '/orders', b'one')
hosts = st.sampled_from(HOSTS)


class KeyMachine(stateful.RuleBasedStateMachine):
    """Daemons with outdated lists that restart and get resent calls."""

    table_class = KeyTable
    ownership_class = KeyOwnership
    bounds = BOUNDS

    def __init__(self):
        super().__init__()
        self.rng = random.Random(5)
        self.time = START
        self.lists = [(self.time, HOSTS)]
        self.start_count = 0
        self.tables = {}
        self.read_times = {}
        self.current_lists = {}
        self.keys = []
        self.executions = {}
        for host in HOSTS:
            self.start(host, 0)
        self.report_all(HOSTS)

    def confirm(self, host, age):
        revision, names = self.current_lists[host]
        ownership = self.tables[host].ownership
        ownership.confirm(names, age, self.moment(host), revision)

    def moment(self, host):
        return ClockReading(self.time, self.time + CLOCK_ERRORS[host])

    def list_at(self, time):
        published = [names for since, names in self.lists if since <= time]
        return len(published), published[-1]

    def start(self, host, age):
        self.start_count += 1
        self.tables[host] = self.table_class(
            'orders',
            host,
            self.start_count,
            self.ownership_class(host, self.bounds),
            max_keys=2,
        )
        self.read_times[host] = START
        self.current_lists[host] = (0, ())
        self.read(host, age)

    @stateful.rule(seconds=st.sampled_from([0.4, 3, 7, 9, 12, 24, 95]))
    def pass_time(self, seconds):
        self.time += seconds

    @stateful.rule(seconds=st.sampled_from([1, 6, 9, 12]))
    def pass_time_with_updates(self, seconds):
        self.time += seconds
        for host in HOSTS:
            self.read(host, 0)
        self.report_all(HOSTS)

    @stateful.rule(host=hosts)
    def change_list(self, host):
        names = set(self.lists[-1][1]) ^ {host}
        self.lists.append((self.time, tuple(sorted(names))))

    @stateful.rule(host=hosts, age=st.sampled_from([0, 1, 4, 8]))
    def read(self, host, age):
        read_at = self.time - age
        if read_at >= self.read_times[host]:
            self.read_times[host] = read_at
            self.current_lists[host] = self.list_at(read_at)
            self.confirm(host, age)

    @stateful.rule(host=hosts, age=st.sampled_from([2, 9, 21]))
    def read_with_old_confirmation(self, host, age):
        """Reads the newest list with an older confirmation."""
        self.read_times[host] = self.time
        self.current_lists[host] = self.list_at(self.time)
        self.confirm(host, age)

    @stateful.rule(
        pair=st.permutations(HOSTS).map(lambda names: names[:2]),
        delay=st.sampled_from([0, 0, 4]),
    )
    def report(self, pair, delay):
        """Reports the list that one host holds to another host."""
        sender, receiver = pair
        ownership = self.tables[sender].ownership
        report = (ownership.revision, ownership.established)
        wall = self.moment(sender).wall
        self.time += delay
        self.tables[receiver].ownership.record_report(
            sender, *report, wall, self.moment(receiver)
        )
        if self.current_lists[receiver][0]:
            self.confirm(receiver, self.time - self.read_times[receiver])

    @stateful.rule(
        seconds=st.sampled_from([4, 12, 24]),
        group=st.sampled_from(['abc', 'abc', 'ab', 'ac', 'bc']),
        readers=st.sampled_from(['', '', 'abc', 'abc', 'a', 'b', 'c']),
    )
    def pass_time_partitioned(self, seconds, group, readers):
        """Passes time while some hosts reach each other and some the store."""
        for _ in range(seconds // 4):
            self.time += 4
            for host in readers:
                self.read(host, 0)
            self.report_all(group)

    def report_all(self, group):
        for pair in itertools.permutations(group, 2):
            self.report(pair, 0)

    @stateful.rule(host=hosts, age=st.sampled_from([0, 4]))
    def restart(self, host, age):
        self.start(host, age)

    @stateful.rule(age=st.sampled_from([-3, -1, 0, 5, 15]))
    def make_key(self, age):
        self.keys.append(make_uuid7(self.time - age, self.rng))

    @stateful.rule(host=hosts, issuer=hosts)
    def issue_key(self, host, issuer):
        incarnation = self.tables[host].incarnation
        wall = self.moment(issuer).wall
        key = issue_key('orders', host, incarnation, wall, self.rng)
        self.keys.append(parse_key(key.text))

    @stateful.precondition(lambda machine: machine.keys)
    @stateful.rule(
        host=hosts,
        draw=st.data(),
        digest=st.sampled_from([DIGEST, DIGEST, b'other']),
    )
    def send(self, host, draw, digest):
        key = draw.draw(st.sampled_from(self.keys))
        self.offer(key, host, digest)

    @stateful.precondition(lambda machine: machine.keys)
    @stateful.rule()
    def send_newest_everywhere(self):
        for host in HOSTS:
            self.offer(self.keys[-1], host, DIGEST)

    @stateful.rule()
    def send_contested_key_everywhere(self):
        """Sends the one of eight new keys that most hosts believe they own."""
        new_keys = [make_uuid7(self.time, self.rng) for _ in range(8)]
        self.keys.append(max(new_keys, key=self.owner_count))
        self.send_newest_everywhere()

    def owner_count(self, key):
        return sum(
            table.ownership.owned_since(key) is not None
            for table in self.tables.values()
        )

    def offer(self, key, host, digest):
        table = self.tables[host]
        decision = table.decide(key, digest, self.moment(host))
        if isinstance(decision, Run):
            assert key.text not in self.executions, 'a key ran twice'
            table.begin(key, digest)
            self.executions[key.text] = digest
        if isinstance(decision, Replay):
            assert decision.answer.body == key.text.encode()
            assert self.executions[key.text] == digest
        if getattr(decision, 'execution', None) is Execution.NOT_RUN:
            assert self.executions.get(key.text) != digest

    @stateful.rule(
        host=hosts,
        call_result=st.sampled_from(['answer', 'lost', 'not run']),
    )
    def end_call(self, host, call_result):
        table = self.tables[host]
        running = [
            entry.key
            for entry in table.entries.values()
            if entry.state is KeyState.RUNNING
        ]
        for key in running[:1]:
            if call_result == 'answer':
                table.record_answer(key, Answer(200, body=key.text.encode()))
            elif call_result == 'lost':
                refusal = Refusal.unknown(Reason.CONNECTION_LOST)
                table.record_refusal(key, refusal)
            else:
                table.record_refusal(key, Refusal.not_run(Reason.SHED))
                self.executions.pop(key.text)

    @stateful.rule(host=hosts)
    def expire(self, host):
        self.tables[host].expire(self.moment(host))

    @stateful.invariant()
    def memory_is_bounded(self):
        assert all(len(table.entries) <= 2 for table in self.tables.values())


KeyMachine.TestCase.settings = settings(
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
)
TestKeys = KeyMachine.TestCase


class WithoutHoldOff(KeyBounds):
    """Wrong: a new owner accepts keys at once."""

    hold_off_s = 0


class ClockSkewHoldOff(KeyBounds):
    """Wrong: a new owner waits for the clock skew only."""

    hold_off_s = 2 * BOUNDS.max_clock_skew_s


class IgnoresListAge(KeyOwnership):
    """Wrong: an owner accepts keys however old its list's confirmation is."""

    def check(self, key, moment):
        self.confirmed_at = moment.now
        return super().check(key, moment)


class GapOfConfirmations(KeyOwnership):
    """Wrong: only gaps between confirmations count, not how late they come."""

    def confirm(self, names, age_s, moment, revision=0):
        previous = self.confirmed_at
        gap = moment.now - age_s - previous
        if gap <= self.bounds.max_list_age_s:
            self.confirmed_at = moment.now
        super().confirm(names, age_s, moment, revision)
        self.confirmed_at = max(previous, moment.now - age_s)


class IgnoresGaps(KeyOwnership):
    """Wrong: an owner whose list was unconfirmed assumes it missed none."""

    def confirm(self, names, age_s, moment, revision=0):
        self.confirmed_at = moment.now
        super().confirm(names, age_s, moment, revision)


class AcceptsAnyRevision(KeyOwnership):
    """Wrong: reports of any list confirm the current one."""

    def record_report(self, host_id, revision, established, wall, moment):
        super().record_report(host_id, self.revision, True, wall, moment)


class AcceptsOneReport(KeyOwnership):
    """Wrong: the report of one other host is enough."""

    def confirmed_by_reports_until(self, now):
        held_until = [
            self.reports.all_held_until([host_id], self.revision)
            for host_id in self.others()
        ]
        return max(held_until) if self.established else float('-inf')


class IgnoresMembership(KeyOwnership):
    """Wrong: a new host does not wait until the others have its list."""

    def sole_owner_since(self, owned_since):
        return owned_since


class AlwaysEstablished(KeyOwnership):
    """Wrong: reports confirm a list however briefly the store did."""

    established = True


class IgnoresIncarnation(KeyTable):
    """Wrong: a restarted owner runs keys issued before its restart."""

    def _check_issuer(self, key):
        return super()._check_issuer(
            attrs.evolve(key, incarnation=self.incarnation),
        )


class EvictsOldestKey(KeyTable):
    """Wrong: a full table evicts the oldest key."""

    def decide(self, key, digest, moment):
        if len(self.entries) >= self.max_keys and key.text not in self.entries:
            self.entries.pop(next(iter(self.entries)))
        return super().decide(key, digest, moment)


class RerunsLostCalls(KeyTable):
    """Wrong: a call with an unknown outcome may run again."""

    def record_refusal(self, key, refusal):
        self.entries.pop(key.text)


class ForgetsKeysEarly(KeyTable):
    """Wrong: keys are forgotten before they are refused for their age."""

    def expire(self, moment):
        self.entries.clear()


class IgnoresKeyAge(KeyTable):
    """Wrong: a key runs however old or far in the future its time is."""

    def _check_age(self, key, moment):
        """Accepts every age."""


@pytest.mark.parametrize(
    'variant',
    [
        {'bounds': WithoutHoldOff(2, 10, 90, 60)},
        {'table_class': IgnoresIncarnation},
        {'table_class': RerunsLostCalls},
        {'table_class': ForgetsKeysEarly},
    ],
    ids=lambda variant: str(next(iter(variant.values()))),
)
def test_machine_catches_wrong_variant(variant):
    machine = type('Wrong', (KeyMachine,), variant)
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            machine,
            settings=settings(
                max_examples=20_000,
                stateful_step_count=40,
                deadline=None,
                derandomize=True,
                database=None,
                report_multiple_bugs=False,
                suppress_health_check=list(HealthCheck),
                phases=[Phase.generate],
            ),
        )


def replace_owner_a_by_b(machine):
    """Removes host a, so that b owns some of its keys; only b reads this."""
    pass_time_with_reads(machine, HOSTS, 40)
    machine.change_list('a')
    machine.read('b', 0)


def add_host_b(machine):
    """Removes b and adds it again; a and c hold the list without b."""
    machine.change_list('b')
    pass_time_with_reads(machine, HOSTS, 40)
    machine.change_list('b')
    machine.read('b', 0)


def pass_time_with_reads(machine, readers, seconds):
    """Passes time while some hosts read the list and report it."""
    for _ in range(seconds // 4):
        machine.pass_time(4)
        for host in readers:
            machine.read(host, 0)
        machine.report_all(readers)


def key_moved_from_a_to_b(machine, ahead=0, old=HOSTS, new=('b', 'c')):
    """Returns a key of host a by the old list and of host b by the new one.

    Args:
        machine: The machine, whose time the key gets.
        ahead: Time by which the key is ahead of the machine, seconds.
        old: The hosts of the old list.
        new: The hosts of the new list.
    """
    while True:
        key = make_uuid7(machine.time + ahead, machine.rng)
        if (owner_id(key, old), owner_id(key, new)) == ('a', 'b'):
            return key


def old_owner_has_old_list(machine):
    replace_owner_a_by_b(machine)
    machine.pass_time(8)
    key = key_moved_from_a_to_b(machine)
    machine.offer(key, 'a', DIGEST)
    assert key.text in machine.executions
    machine.offer(key, 'b', DIGEST)


def run_by_new_owner(machine):
    """Lets b run the call of a key that it owns by a list only b has read."""
    replace_owner_a_by_b(machine)
    pass_time_with_reads(machine, ('b',), 40)
    key = key_moved_from_a_to_b(machine)
    machine.offer(key, 'b', DIGEST)
    assert key.text in machine.executions
    return key


def old_owner_is_partitioned(machine):
    key = run_by_new_owner(machine)
    machine.offer(key, 'a', DIGEST)


def old_owner_misses_list_without_it(machine):
    key = run_by_new_owner(machine)
    machine.change_list('a')
    machine.read('a', 0)
    machine.offer(key, 'a', DIGEST)


def key_has_future_time(machine):
    replace_owner_a_by_b(machine)
    machine.pass_time(8)
    key = key_moved_from_a_to_b(machine, ahead=20)
    machine.offer(key, 'a', DIGEST)
    machine.offer(key, 'b', DIGEST)


def old_confirmations_hide_list_without_it(machine):
    key = run_by_new_owner(machine)
    machine.change_list('a')
    for age in (32, 24, 16, 8, 0):
        machine.read_with_old_confirmation('a', age)
    machine.offer(key, 'a', DIGEST)


def table_is_full(machine):
    for _ in range(4):
        machine.issue_key('a', 'a')
        machine.offer(machine.keys[-1], 'a', DIGEST)
    machine.offer(machine.keys[0], 'a', DIGEST)


def key_has_expired(machine):
    key = issue_key('orders', 'a', 1, machine.time, machine.rng)
    machine.offer(key, 'a', DIGEST)
    assert key.text in machine.executions
    machine.end_call('a', 'answer')
    machine.pass_time(95)
    machine.expire('a')
    machine.offer(key, 'a', DIGEST)
    # The wall clock is set back.
    machine.time -= 95
    machine.expire('a')
    machine.offer(key, 'a', DIGEST)


def run_while_only_b_reads_the_store(machine, old, new):
    """Offers a key to the new owner, then to the old one without the store."""
    for _ in range(11):
        machine.pass_time_partitioned(4, 'ac', 'b')
        machine.report(('b', 'a'), 0)
    key = key_moved_from_a_to_b(machine, 0, old, new)
    machine.offer(key, 'b', DIGEST)
    machine.offer(key, 'a', DIGEST)


def old_owner_gets_reports_of_new_list(machine):
    replace_owner_a_by_b(machine)
    run_while_only_b_reads_the_store(machine, HOSTS, ('b', 'c'))


def only_new_host_reads_the_store(machine):
    add_host_b(machine)
    for _ in range(11):
        machine.pass_time_partitioned(4, 'ac', 'b')
    key = key_moved_from_a_to_b(machine, 0, ('a', 'c'), HOSTS)
    machine.offer(key, 'a', DIGEST)
    assert key.text in machine.executions
    machine.offer(key, 'b', DIGEST)


def some_hosts_keep_short_lived_list(machine):
    pass_time_with_reads(machine, HOSTS, 40)
    machine.change_list('b')
    machine.read('a', 0)
    machine.read('c', 0)
    machine.pass_time(3)
    machine.change_list('b')
    machine.read('b', 0)
    for _ in range(11):
        machine.pass_time_partitioned(4, 'ac', 'b')
    key = key_moved_from_a_to_b(machine, 0, ('a', 'c'), HOSTS)
    machine.offer(key, 'b', DIGEST)
    assert key.text in machine.executions
    machine.offer(key, 'a', DIGEST)


@pytest.mark.parametrize(
    ('scenario', 'variant'),
    [
        (key_has_future_time, {'table_class': IgnoresKeyAge}),
        (key_has_expired, {'table_class': IgnoresKeyAge}),
        (table_is_full, {'table_class': EvictsOldestKey}),
        (
            old_confirmations_hide_list_without_it,
            {'ownership_class': GapOfConfirmations},
        ),
        (old_owner_has_old_list, {'bounds': ClockSkewHoldOff(2, 10, 90, 60)}),
        (old_owner_is_partitioned, {'ownership_class': IgnoresListAge}),
        (
            old_owner_misses_list_without_it,
            {'ownership_class': IgnoresGaps},
        ),
        (
            old_owner_gets_reports_of_new_list,
            {'ownership_class': AcceptsAnyRevision},
        ),
        (
            old_owner_gets_reports_of_new_list,
            {'ownership_class': AcceptsOneReport},
        ),
        (only_new_host_reads_the_store, {'ownership_class': IgnoresMembership}),
        (
            some_hosts_keep_short_lived_list,
            {'ownership_class': AlwaysEstablished},
        ),
    ],
)
def test_key_of_two_owners_runs_once(scenario, variant):
    scenario(KeyMachine())
    with pytest.raises(AssertionError, match='a key ran twice'):
        scenario(type('Wrong', (KeyMachine,), variant)())


def test_resent_calls_join_or_get_the_stored_answer():
    table = KeyTable.for_daemon('orders', 'a', 7)
    key = issue_key('orders', 'a', 7, START, random.Random(1))
    now = ClockReading(0, START)
    assert table.decide(key, DIGEST, now) == Run()
    table.begin(key, DIGEST)
    assert table.decide(key, DIGEST, now) == Join()
    table.record_answer(key, Answer(200, (), b'done'))
    assert table.decide(key, DIGEST, now) == Replay(Answer(200, (), b'done'))
    assert table.decide(key, b'else', now).reason is Reason.KEY_REUSED


def test_call_that_outlives_the_retention_keeps_its_key():
    table = KeyTable.for_daemon('orders', 'a', 7)
    key = issue_key('orders', 'a', 7, START, random.Random(1))
    table.begin(key, DIGEST)
    later = ClockReading(9_000, START + 9_000)
    table.expire(later)
    assert table.decide(key, DIGEST, later) == Join()
    table.record_answer(key, Answer(200))
    assert table.decide(key, DIGEST, later) == Replay(Answer(200))


def test_only_the_settled_owner_runs_new_keys():
    tables = [KeyTable.for_daemon('orders', host, 1, BOUNDS) for host in HOSTS]
    for now in (0, 8, 16, 24, 30):
        moment = ClockReading(now, START + now)
        for table in tables:
            table.ownership.confirm(HOSTS, 0, moment)
            for host in HOSTS:
                wall = moment.wall
                table.ownership.record_report(host, 0, False, wall, moment)
    key = make_uuid7(START + 32, random.Random(1))
    moment = ClockReading(32, START + 32)
    decisions = [table.decide(key, DIGEST, moment) for table in tables]
    assert decisions.count(Run()) == 1


@settings(max_examples=50, deadline=None)
@given(
    changed=st.sampled_from(HOSTS),
    outage=st.integers(1, 9),
    seed=st.integers(0, 99),
)
def test_keys_are_served_during_a_store_outage(changed, outage, seed):
    machine = KeyMachine()
    pass_time_with_reads(machine, HOSTS, 40)
    machine.change_list(changed)
    pass_time_with_reads(machine, HOSTS, 40)
    names = machine.lists[-1][1]
    for _ in range(outage):
        machine.pass_time(3)
        machine.report_all(names)
        machine.pass_time(3)
        machine.report_all(names)
        key = make_uuid7(machine.time, random.Random(seed))
        machine.offer(key, owner_id(key, names), DIGEST)
        assert key.text in machine.executions
        for host in names:
            machine.end_call(host, 'answer')
            machine.tables[host].entries.clear()


def test_answers_are_dropped_before_keys():
    table = KeyTable.for_daemon('orders', 'a', 7)
    table.max_answer_bytes = 10
    rng = random.Random(1)
    keys = [issue_key('orders', 'a', 7, START, rng) for _ in range(3)]
    for key in keys:
        table.begin(key, DIGEST)
        table.record_answer(key, Answer(200, (), b'12345'))
    decisions = [
        table.decide(key, DIGEST, ClockReading(0, START)) for key in keys
    ]
    assert decisions[0].reason is Reason.ANSWER_DROPPED
    assert decisions[0].execution is Execution.UNKNOWN
    assert all(isinstance(decision, Replay) for decision in decisions[1:])
    assert table.answer_bytes <= table.max_answer_bytes


@given(
    st.text() | st.binary().map(repr) | st.from_regex('egk1:.*', fullmatch=True)
)
def test_malformed_keys_are_refused_with_a_remedy(text):
    try:
        key = parse_key(text)
    except KeyFormatError as error:
        assert 'send a UUIDv7' in error.remedy
    else:
        assert isinstance(key, CallerKey)


@given(st.integers(0, 2**40), st.randoms(use_true_random=False), st.data())
def test_damaged_issued_keys_are_refused(incarnation, rng, draw):
    key = issue_key('orders', 'host-1', incarnation, START, rng)
    assert parse_key(key.text) == key
    index = draw.draw(st.integers(5, len(key.text) - 1))
    other = chr(ord(key.text[index]) ^ 1)
    damaged = key.text[:index] + other + key.text[index + 1 :]
    with pytest.raises(KeyFormatError):
        parse_key(damaged)
