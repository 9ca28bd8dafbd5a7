"""Which connections and requests give way to others, and how much is held at a time.

Guards against crowds that decide who is served: a limit that refuses whoever comes last
leaves the room to those who came first and bring nothing.
"""

from collections.abc import Iterator
from dataclasses import dataclass

import pytest

from kestreltally.ingress.budget import (
    LARGE_BYTES,
    LARGE_FRACTION,
    Claim,
    NoRoom,
    RequestBudget,
    choose_victims,
)
from kestreltally.ingress.capacity import compute_capacity
from kestreltally.ingress.connections import ConnectionLimiter, Phase, Reason

MEGABYTE = 10**6
LIMIT = 20 * MEGABYTE


@dataclass(eq=False)
class FakeConnection:
    phase: Phase = Phase.OPENED
    phase_since: float = 0.0
    held: int = 0
    ended: Reason | None = None
    is_closing: bool = False

    def end(self, reason: Reason) -> None:
        self.ended = reason


class Play:
    """A budget over connections, and the time."""

    def __init__(self) -> None:
        self.now = 0.0
        self.connections: list[FakeConnection] = []
        self.budget = RequestBudget(LIMIT, lambda: self.now, self._list_unfinished)

    def _list_unfinished(self) -> Iterator[FakeConnection]:
        return (
            each
            for each in self.connections
            if each.phase is Phase.BODY and each.ended is None
        )

    def hold(self, size: int, phase: Phase = Phase.BODY) -> FakeConnection:
        connection = FakeConnection(phase, self.now)
        self.connections.append(connection)
        self.budget.hold(connection, size)
        return connection


def test_unfinished_bodies_give_way_to_a_new_one_heaviest_first() -> None:
    play = Play()
    old = play.hold(4 * MEGABYTE)
    play.now = 5.0
    large = [play.hold(3 * MEGABYTE) for _ in range(3)]
    play.now = 10.0
    play.hold(2 * MEGABYTE)
    assert old.ended is Reason.MEMORY
    assert not any(each.ended for each in large)


def test_a_body_on_its_way_for_a_moment_gives_way_to_none() -> None:
    play = Play()
    first = [play.hold(4 * MEGABYTE) for _ in range(3)]
    with pytest.raises(NoRoom):
        play.hold(4 * MEGABYTE)
    assert not any(each.ended for each in first)


def test_a_complete_request_gives_way_to_none() -> None:
    play = Play()
    first = [play.hold(4 * MEGABYTE, Phase.SERVING) for _ in range(3)]
    play.now = 100.0
    with pytest.raises(NoRoom):
        play.hold(4 * MEGABYTE)
    assert not any(each.ended for each in first)


def test_large_requests_leave_room_for_small_ones() -> None:
    play = Play()
    with pytest.raises(NoRoom):
        for _ in range(100):
            play.hold(MEGABYTE, Phase.SERVING)
    assert play.budget.held <= LARGE_FRACTION * LIMIT
    small = int((1 - LARGE_FRACTION) * LIMIT) // LARGE_BYTES
    for _ in range(small):
        play.hold(LARGE_BYTES, Phase.SERVING)
    assert play.budget.held <= LIMIT


def test_a_single_request_is_held_however_large_it_is() -> None:
    play = Play()
    single = play.hold(2 * LIMIT)
    with pytest.raises(NoRoom):
        play.hold(MEGABYTE)
    play.budget.release(single)
    assert play.budget.held == play.budget.held_large == 0


def test_a_body_in_pieces_is_large_once_its_pieces_are() -> None:
    play = Play()
    connection = play.hold(LARGE_BYTES)
    assert play.budget.held_large == 0
    play.budget.hold(connection, 1)
    assert play.budget.held_large == LARGE_BYTES + 1
    play.budget.release(connection)
    assert play.budget.held_large == play.budget.held == 0


def test_nothing_ends_where_ending_does_not_suffice() -> None:
    claims = [(Claim(10, 5.0), 0), (Claim(20, 5.0), 1)]
    assert choose_victims(claims, 31) == []
    assert choose_victims(claims, 30) == [1, 0]
    assert choose_victims(claims, 20) == [1]


def test_a_connection_without_a_request_is_closed_for_a_new_one() -> None:
    limiter = ConnectionLimiter(limit=3)
    silent, idle, served = (FakeConnection() for _ in range(3))
    for each in (idle, silent, served):
        assert limiter.admit(each, 0.0)
    limiter.move(idle, Phase.IDLE, 1.0)
    limiter.move(served, Phase.SERVING, 1.0)
    assert limiter.admit(FakeConnection(), 2.0)
    assert silent.ended is Reason.CONNECTIONS
    # The new one has had no time to send anything.
    assert limiter.admit(FakeConnection(), 2.1)
    assert idle.ended is Reason.CONNECTIONS
    assert served.ended is None
    assert not limiter.admit(FakeConnection(), 2.2)
    assert len(limiter) == 3


def test_a_connection_that_is_served_is_closed_for_none() -> None:
    limiter = ConnectionLimiter(limit=1)
    served = FakeConnection()
    assert limiter.admit(served, 0.0)
    limiter.move(served, Phase.SERVING, 0.0)
    assert not limiter.admit(FakeConnection(), 100.0)
    limiter.remove(served)
    assert limiter.admit(FakeConnection(), 100.0)


def test_a_client_that_takes_nothing_of_its_answer_makes_room() -> None:
    limiter = ConnectionLimiter(limit=2)
    reading, unread = FakeConnection(), FakeConnection()
    for each in (reading, unread):
        assert limiter.admit(each, 0.0)
        limiter.move(each, Phase.SERVING, 0.0)
        limiter.record_unread(each, 1.0)
    limiter.record_taken(reading)
    assert not limiter.admit(FakeConnection(), 2.0)
    assert limiter.admit(FakeConnection(), 7.0)
    assert unread.ended is Reason.CONNECTIONS
    assert reading.ended is None


def test_a_closed_connection_ends_whose_client_does_not_take_the_rest() -> None:
    limiter = ConnectionLimiter(limit=9)
    resting, closing, young = (FakeConnection() for _ in range(3))
    for now, each in enumerate((resting, closing, young)):
        assert limiter.admit(each, 0.0)
        limiter.move(each, Phase.IDLE, float(now))
    closing.is_closing = young.is_closing = True
    limiter.end_closing(before=2.0)
    assert closing.ended is Reason.UNREAD
    assert resting.ended is young.ended is None


@pytest.mark.parametrize(
    ("memory_mb", "descriptors"), [(152, 1_535), (300, 4_100), (552, 8_192)]
)
def test_clients_leave_memory_and_sockets_for_the_rest(
    memory_mb: int, descriptors: int
) -> None:
    capacity = compute_capacity(memory_mb * MEGABYTE, descriptors)
    sockets = capacity.clients + capacity.peers + 2 * capacity.service
    assert sockets <= 0.75 * (descriptors - 200)
    assert capacity.request_bytes <= 0.25 * memory_mb * MEGABYTE


def test_limits_that_are_not_named_are_those_of_the_process() -> None:
    capacity = compute_capacity(0, 0)
    assert capacity.clients > 0
    assert capacity.request_bytes > 0
