"""Lends the slots of brittle endpoints to all daemons, at their leader."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import EndpointId, Seconds
from kestreltally.slots.limit import SlotLimit
from kestreltally.slots.line import SlotLine, SlotList

# While requests wait, slots are looked for at this interval: room grows with time too.
RECHECK_INTERVAL: Final[Seconds] = 0.05


@dataclass(frozen=True, slots=True)
class EndpointRoom:
    """An endpoint's slots, the rejections a second it bears, and its requests now."""

    slots: int
    bears: float
    in_flight: int


@dataclass(frozen=True, slots=True)
class SlotAnswer:
    """An issuer's answer to a daemon: the numbers of its requests that get a slot.

    ``serial`` is that of the latest list from the daemon. ``duration`` is how long a
    slot is held on average, ``room`` how many there are, ``free`` how many of them are
    not lent, and ``queued`` how many requests of other daemons wait. ``rejected`` is
    how many requests the endpoint has turned away lately.
    """

    serial: int
    numbers: tuple[int, ...]
    duration: Seconds
    room: int
    free: int
    queued: int
    rejected: int


SendAnswer = Callable[[str, EndpointId, SlotAnswer], None]


class SlotIssuer:
    """The lines of the endpoints that this daemon leads.

    ``send_answer`` sends an answer to a daemon. ``is_learning`` returns whether this
    daemon leads an endpoint so recently that others may have slots it does not know.
    """

    def __init__(
        self,
        send_answer: SendAnswer,
        is_learning: Callable[[EndpointId], bool],
        clock: Callable[[], Seconds],
    ) -> None:
        self._send_answer = send_answer
        self._is_learning = is_learning
        self._clock = clock
        self._lines: dict[EndpointId, SlotLine] = {}
        self._serials: dict[tuple[EndpointId, str], int] = {}
        self._timers: dict[EndpointId, asyncio.TimerHandle] = {}
        self.lent = 0

    def count_queued(self) -> int:
        """Return how many requests wait for slots."""
        return sum(line.count_queued() for line in self._lines.values())

    def apply(
        self,
        daemon: str,
        endpoint: EndpointId,
        room: EndpointRoom,
        listed: SlotList,
        serial: int,
    ) -> None:
        """Apply a daemon's list of requests at an endpoint, and answer it."""
        now = self._clock()
        line = self._lines.get(endpoint)
        if line is None:
            limit = SlotLimit(room.slots, room.bears, room.in_flight, now)
            line = self._lines[endpoint] = SlotLine(limit)
        line.limit.bears = room.bears
        self._serials[endpoint, daemon] = serial
        unnoticed = line.apply(daemon, listed, now)
        lending = self._lend(endpoint, line, now)
        numbers = (*unnoticed, *lending.pop(daemon, ()))
        self._answer(daemon, endpoint, line, numbers)
        for other, lent in lending.items():
            self._answer(other, endpoint, line, tuple(lent))

    def _lend(
        self, endpoint: EndpointId, line: SlotLine, now: Seconds
    ) -> dict[str, list[int]]:
        lending = line.lend(now, learning=self._is_learning(endpoint))
        self.lent += sum(len(numbers) for numbers in lending.values())
        if line.count_queued() and endpoint not in self._timers:
            self._timers[endpoint] = asyncio.get_running_loop().call_later(
                RECHECK_INTERVAL, self._recheck, endpoint
            )
        return lending

    def _recheck(self, endpoint: EndpointId) -> None:
        self._timers.pop(endpoint, None)
        line = self._lines.get(endpoint)
        if line is None:
            return
        now = self._clock()
        line.expire(now)
        for daemon, numbers in self._lend(endpoint, line, now).items():
            self._answer(daemon, endpoint, line, tuple(numbers))

    def _answer(
        self,
        daemon: str,
        endpoint: EndpointId,
        line: SlotLine,
        numbers: tuple[int, ...],
    ) -> None:
        now = self._clock()
        room = line.limit.compute_allowed(now)
        answer = SlotAnswer(
            serial=self._serials[endpoint, daemon],
            numbers=numbers,
            duration=line.duration,
            room=max(1, room),
            free=max(0, room - line.lent),
            queued=line.count_queued(besides=daemon),
            rejected=line.limit.count_rejections(now),
        )
        self._send_answer(daemon, endpoint, answer)

    def prune(self, is_led: Callable[[EndpointId], bool]) -> None:
        """Forget endpoints that this daemon leads no more, and silent daemons."""
        now = self._clock()
        for endpoint, line in list(self._lines.items()):
            line.expire(now)
            if not is_led(endpoint):
                self._remove(endpoint)

    def _remove(self, endpoint: EndpointId) -> None:
        del self._lines[endpoint]
        self._serials = {k: v for k, v in self._serials.items() if k[0] != endpoint}
        timer = self._timers.pop(endpoint, None)
        if timer is not None:
            timer.cancel()
