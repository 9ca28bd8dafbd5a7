"""The table of endpoints' notices, and how notices are read from answers."""

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as draw
from multidict import CIMultiDict

from kestreltally.fleet.model import (
    EMPTY_NOTICE,
    Endpoint,
    EndpointId,
    KnownNotice,
    Notice,
    ServiceName,
)
from kestreltally.fleet.notices import (
    FOREVER,
    MAX_TRIALS,
    RETENTION,
    TRIAL_TIMEOUT,
    NoticeTable,
    Unavailable,
)
from kestreltally.platform.headers import MAX_BACKOFF, read_notice

ENDPOINT = Endpoint(
    id=EndpointId("e1"),
    service=ServiceName("models"),
    host="127.0.0.1",
    port=1,
    data_centre="north",
    slots=4,
    leaving=False,
    weights={},
    born=1_000,
)
REBORN = replace(ENDPOINT, born=2_000)
LEAVING = Notice(leaves=True, rest=0.0)
RESTING = Notice(leaves=False, rest=3.0)
NOW = 50.0


@pytest.mark.parametrize(
    ("values", "rest"),
    [
        (["3"], 3.0),
        (["0.25"], 0.25),
        ([" 1.5 "], 1.5),
        (["0"], 0.0),
        ([], 0.0),
        ([""], 0.0),
        (["-2"], 0.0),
        (["soon"], 0.0),
        (["nan"], 0.0),
        (["inf"], 0.0),
        (["1e3"], 0.0),
        (["0x10"], 0.0),
        (["1_0"], 0.0),
        (["٣"], 0.0),
        (["Wed, 21 Oct 2026 07:28:00 GMT"], 0.0),
        (["999999999"], MAX_BACKOFF),
        (["9" * 400], 0.0),
        (["1", "4", "2"], 4.0),
        (["1, 4"], 4.0),
        (["-1", "2"], 2.0),
    ],
)
def test_each_time_of_rest_has_one_meaning(values: list[str], rest: float) -> None:
    headers = CIMultiDict([("Retry-After", value) for value in values])
    assert read_notice(503, headers) == Notice(leaves=False, rest=rest)
    # Retry-After is a backoff request only with a rejection.
    assert read_notice(429, headers) == read_notice(200, headers) == EMPTY_NOTICE


@given(draw.lists(draw.text(max_size=40), max_size=4), draw.text(max_size=5))
def test_any_headers_are_read(values: list[str], leaving: str) -> None:
    headers = CIMultiDict([("Retry-After", value) for value in values])
    headers["Server-Leaving"] = leaving
    notice = read_notice(503, headers)
    assert 0.0 <= notice.rest <= MAX_BACKOFF
    assert notice.leaves == (leaving.strip() == "1")


def test_leaving_ends_with_that_start_of_the_endpoint() -> None:
    table = NoticeTable()
    table.record(ENDPOINT, LEAVING, NOW)
    assert table.apply_to(ENDPOINT).leaving
    assert table.compute_backoff(ENDPOINT, NOW + 50) == FOREVER
    table.record(ENDPOINT, EMPTY_NOTICE, NOW + 1)
    assert table.apply_to(ENDPOINT).leaving
    assert not table.apply_to(REBORN).leaving
    assert table.compute_backoff(REBORN, NOW) == 0.0


def test_a_late_answer_of_an_earlier_start_says_nothing_of_the_newer() -> None:
    table = NoticeTable()
    table.record(REBORN, RESTING, NOW)
    table.record(ENDPOINT, LEAVING, NOW + 1)
    assert not table.apply_to(REBORN).leaving
    assert table.compute_backoff(REBORN, NOW + 1) == 2.0


def test_nothing_leaves_for_an_endpoint_that_rests_and_one_tries_it_then() -> None:
    table = NoticeTable()
    table.record(ENDPOINT, RESTING, NOW)
    table.record(ENDPOINT, replace(RESTING, rest=1.0), NOW + 0.5)
    for after in (0.0, 1.6, 2.9):
        with pytest.raises(Unavailable):
            table.start_send(ENDPOINT, NOW + after)
    assert table.start_send(ENDPOINT, NOW + 3.0)
    with pytest.raises(Unavailable):
        table.start_send(ENDPOINT, NOW + 3.1)
    # Each answer allows one more request in flight, until the limit is lifted.
    for allowed in range(2, MAX_TRIALS):
        table.record(ENDPOINT, EMPTY_NOTICE, NOW + 3.2)
        table.end_trial(ENDPOINT)
        sent = 0
        while table.compute_backoff(ENDPOINT, NOW + 3.2) == 0.0:
            table.start_send(ENDPOINT, NOW + 3.2)
            sent += 1
        assert sent == allowed
        for _ in range(sent - 1):
            table.end_trial(ENDPOINT)
    table.record(ENDPOINT, EMPTY_NOTICE, NOW + 3.2)
    assert table.start_send(ENDPOINT, NOW + 3.2) is False
    assert not table.start_send(ENDPOINT, NOW + 3.2)


def test_a_trial_that_gets_no_answer_is_followed_by_another() -> None:
    table = NoticeTable()
    table.record(ENDPOINT, RESTING, NOW)
    assert table.start_send(ENDPOINT, NOW + 3.0)
    assert table.compute_backoff(ENDPOINT, NOW + 3.1) > 0
    assert table.start_send(ENDPOINT, NOW + 3.0 + TRIAL_TIMEOUT)
    table.end_trial(ENDPOINT)
    assert table.start_send(ENDPOINT, NOW + 3.1 + TRIAL_TIMEOUT)


def test_an_answer_to_what_was_sent_before_does_not_end_a_rest() -> None:
    table = NoticeTable()
    table.record(ENDPOINT, RESTING, NOW)
    table.record(ENDPOINT, EMPTY_NOTICE, NOW + 0.2)
    assert table.compute_backoff(ENDPOINT, NOW + 0.2) == pytest.approx(2.8)


def test_what_another_daemon_was_asked_binds_nobody_here_but_the_planning() -> None:
    table = NoticeTable()
    told = KnownNotice(ENDPOINT.id, ENDPOINT.born, leaves=False, rest=2.0)
    table.apply_reported([told], NOW)
    assert table.compute_backoff(ENDPOINT, NOW) == 0.0
    assert table.is_constrained(ENDPOINT, NOW + 1.9)
    assert not table.is_constrained(ENDPOINT, NOW + 2.1)
    # It is not reported as if it had been requested from this daemon.
    assert table.list_known(NOW) == []


def test_that_an_endpoint_leaves_is_told_on_and_news_once() -> None:
    news: list[EndpointId] = []
    first, second = NoticeTable(), NoticeTable()
    second.notify_change = news.append
    first.record(ENDPOINT, LEAVING, NOW)
    for _ in range(3):
        second.apply_reported(first.list_known(NOW), NOW)
    assert second.apply_to(ENDPOINT).leaving
    assert news == [ENDPOINT.id]
    assert second.list_known(NOW) == first.list_known(NOW)


def test_what_is_over_is_forgotten() -> None:
    table = NoticeTable()
    table.record(ENDPOINT, RESTING, NOW)
    table.record(REBORN, LEAVING, NOW)
    for after in range(200):
        table.prune_old({ENDPOINT.id}, NOW + after)
    assert table.list_known(NOW + 200)
    table.prune_old((), NOW + 200 + RETENTION)
    assert table.list_known(NOW + 200) == []


@pytest.mark.parametrize("seed", range(200))
def test_under_any_answers_none_is_sent_within_a_rest(seed: int) -> None:
    random = Random(seed)
    table = NoticeTable()
    rests_until, now, asleep, answers = 0.0, NOW, False, 0
    sends: list[float] = []
    for _ in range(300):
        now += random.choice([0.0, 0.01, 0.1, 0.7])
        if random.random() < 0.2:
            rest = random.choice([0.2, 1.0, 3.0])
            table.record(ENDPOINT, Notice(leaves=False, rest=rest), now)
            rests_until, asleep = max(rests_until, now + rest), True
            answers = 0
        elif random.random() < 0.5:
            table.record(ENDPOINT, EMPTY_NOTICE, now)
            if asleep and now >= rests_until:
                answers += 1
                asleep = 1 + answers < MAX_TRIALS
        try:
            trial = table.start_send(ENDPOINT, now)
        except Unavailable:
            assert asleep
            continue
        assert now >= rests_until
        assert trial == asleep
        sends.append(now)
        if random.random() < 0.7:
            table.end_trial(ENDPOINT)
    assert sends
