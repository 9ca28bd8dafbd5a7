"""Issues the turns of engines to all daemons, at the leader of their data centre."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from kestreltally.fleet.model import EndpointId, Seconds
from kestreltally.pacing.line import EnginePace, Prompt, TurnLine
from kestreltally.pacing.shares import FairShares


@dataclass(frozen=True, slots=True)
class LineSummary:
    """The line of one engine: prompts that wait and that are read, and their tokens.

    ``longest_wait`` is the seconds since the first of those that wait has asked.
    """

    endpoint: EndpointId
    waiting: int
    reading: int
    tokens: int
    longest_wait: Seconds


class TurnIssuer:
    """The lines of prompts at the engines of this leader.

    ``get_pace`` returns an engine's pace, given the number of prompts in its line.
    ``send_answer`` sends a daemon the numbers of its prompts whose turn has come, and
    the expected waits of its others.
    """

    def __init__(
        self,
        get_pace: Callable[[EndpointId, int], EnginePace],
        send_answer: Callable[
            [str, EndpointId, Sequence[int], Mapping[int, Seconds]], None
        ],
        clock: Callable[[], Seconds],
    ) -> None:
        self._get_pace = get_pace
        self._send_answer = send_answer
        self._clock = clock
        self._shares = FairShares()
        self._lines: dict[EndpointId, TurnLine] = {}
        self._timers: dict[EndpointId, asyncio.TimerHandle] = {}
        self.issued = 0

    def count_prompts(self) -> int:
        """Return how many prompts wait or are read at all engines."""
        return sum(line.count_prompts() for line in self._lines.values())

    def list_lines(self) -> list[LineSummary]:
        """Return a summary of each engine's line."""
        now = self._clock()
        return [
            _summarise(endpoint, line.list_prompts(), now)
            for endpoint, line in self._lines.items()
        ]

    def apply(
        self, daemon: str, endpoint: EndpointId, prompts: Sequence[Prompt]
    ) -> None:
        """Apply the list of a daemon's prompts at an engine, and answer it."""
        now = self._clock()
        line = self._lines.get(endpoint)
        if line is None:
            if not prompts:
                return
            line = self._lines[endpoint] = TurnLine(self._shares)
        line.apply(daemon, prompts, now)
        pace = self._get_pace(endpoint, line.count_prompts())
        granted = self._issue(line, pace, now)
        self._answer(daemon, endpoint, prompts, granted.pop(daemon, []))
        for other, numbers in granted.items():
            self._send_answer(other, endpoint, numbers, {})
        self._schedule(endpoint, line, pace, now)

    def _issue(
        self, line: TurnLine, pace: EnginePace, now: Seconds
    ) -> dict[str, list[int]]:
        """Issue the turns that are due; return their numbers by daemon."""
        granted: dict[str, list[int]] = {}
        for prompt in line.issue(pace, now):
            granted.setdefault(prompt.daemon, []).append(prompt.number)
            self.issued += 1
        return granted

    def _answer(
        self,
        daemon: str,
        endpoint: EndpointId,
        prompts: Sequence[Prompt],
        granted: Sequence[int],
    ) -> None:
        """Answer a list: turns that have come, and the waits of the others."""
        waiting = [
            each.number
            for each in prompts
            if not each.reading and each.number not in granted
        ]
        if not waiting and not granted:
            return
        expected: Mapping[tuple[str, int], Seconds] = {}
        if waiting:
            line = self._lines[endpoint]
            pace = self._get_pace(endpoint, line.count_prompts())
            expected = line.predict_waits(pace, self._clock())
        waits = {number: expected.get((daemon, number), 0.0) for number in waiting}
        self._send_answer(daemon, endpoint, granted, waits)

    def _schedule(
        self, endpoint: EndpointId, line: TurnLine, pace: EnginePace, now: Seconds
    ) -> None:
        """Issue the next turn when it is due, even if no message comes before."""
        timer = self._timers.pop(endpoint, None)
        if timer is not None:
            timer.cancel()
        delay = line.compute_next_issue(pace, now)
        if delay is not None:
            loop = asyncio.get_running_loop()
            self._timers[endpoint] = loop.call_later(delay, self._run_due, endpoint)

    def _run_due(self, endpoint: EndpointId) -> None:
        self._timers.pop(endpoint, None)
        line = self._lines.get(endpoint)
        if line is None:
            return
        now = self._clock()
        pace = self._get_pace(endpoint, line.count_prompts())
        for daemon, numbers in self._issue(line, pace, now).items():
            self._send_answer(daemon, endpoint, numbers, {})
        self._schedule(endpoint, line, pace, now)

    def prune(self) -> None:
        """Drop lines whose daemons have fallen silent."""
        now = self._clock()
        for endpoint, line in list(self._lines.items()):
            line.expire(now)
            if line.is_idle(now) and endpoint not in self._timers:
                del self._lines[endpoint]

    def clear(self) -> None:
        """Forget all lines, once this daemon leads no more."""
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()
        self._lines.clear()


def _summarise(
    endpoint: EndpointId, prompts: Sequence[Prompt], now: Seconds
) -> LineSummary:
    waiting = [each for each in prompts if not each.reading]
    return LineSummary(
        endpoint=endpoint,
        waiting=len(waiting),
        reading=len(prompts) - len(waiting),
        tokens=sum(each.tokens for each in prompts),
        longest_wait=max((now - each.asked_at for each in waiting), default=0.0),
    )
