"""One engine that reads prompts in order, daemons that ask for turns, and an issuer.

While the engine reads, its streams get nothing; else each gets an event per
``EVENT_TIME``. Datagrams may be lost, late, repeated and out of order.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import count

from kestreltally.pacing.line import EnginePace, Prompt, TurnLine

TOKEN_TIME = 1 / 38_400
EVENT_TIME = 0.026
MAX_PAUSE = 0.6
REPEAT_INTERVAL = 0.2
PATIENCE = 0.15
HOP = 0.001
DAEMONS = 5
# Events of a stream.
EVENTS = 20


@dataclass
class Read:
    """A prompt that was read, and when."""

    prompt: Prompt
    begin: float
    end: float

    @property
    def timely(self) -> bool:
        return self.begin <= self.prompt.begin_by


@dataclass
class Rig:
    """A play of one engine, which is ``slowdown`` times slower at a time."""

    paced: bool = True
    loss: float = 0.0
    max_delay: float = 0.003
    slowdown: Callable[[float], float] = lambda now: 1.0
    rng: random.Random = field(default_factory=lambda: random.Random(1))

    def __post_init__(self) -> None:
        self.now = self.free_at = 0.0
        self.line, self.serial, self.recheck = TurnLine(), count(), 0
        self.calls: list[tuple[float, int, Callable[[], object]]] = []
        self.lists: list[dict[int, Prompt]] = [{} for _ in range(DAEMONS)]
        self.reported, self.answered = [-1.0] * DAEMONS, [-1.0] * DAEMONS
        self.dead: set[int] = set()
        self.asked: list[Prompt] = []
        self.read: list[Read] = []
        self.streams: list[float] = []

    def at(self, time: float, call: Callable[[], object]) -> None:
        heapq.heappush(self.calls, (time, next(self.serial), call))

    def run(self, until: float) -> None:
        while self.calls and self.calls[0][0] <= until:
            self.now, _, call = heapq.heappop(self.calls)
            call()

    def deliver(self, call: Callable[[], object]) -> None:
        for _ in range(2 if self.rng.random() < self.loss else 1):
            if self.rng.random() >= self.loss:
                self.at(self.now + self.rng.uniform(HOP, self.max_delay), call)

    def ask(self, prompt: Prompt) -> None:
        """Let a client ask the daemon that the prompt names, at the prompt's time."""
        self.asked.append(prompt)
        self.at(prompt.asked_at, lambda: self.arrive(prompt))

    def arrive(self, prompt: Prompt) -> None:
        daemon, number, asked_at = int(prompt.daemon), prompt.number, self.now
        if daemon in self.dead:
            return
        self.lists[daemon][number] = prompt

        def send_unanswered() -> None:
            if self.answered[daemon] < asked_at:
                self.send(daemon, number)

        def withdraw() -> None:
            if number in self.lists[daemon] and not self.lists[daemon][number].reading:
                del self.lists[daemon][number]
                self.report(daemon)

        self.at(self.now + (PATIENCE if self.paced else 0.0), send_unanswered)
        self.at(prompt.give_up_at, withdraw)
        self.report(daemon)

    def report(self, daemon: int) -> None:
        prompts = list(self.lists[daemon].values())
        if daemon in self.dead or not self.paced:
            return
        self.reported[daemon] = self.now
        self.deliver(lambda: self.hear(daemon, prompts))
        if prompts:
            self.at(self.now + REPEAT_INTERVAL, lambda: self.repeat(daemon))

    def repeat(self, daemon: int) -> None:
        if self.lists[daemon] and self.now >= self.reported[daemon] + REPEAT_INTERVAL:
            self.report(daemon)

    def hear(self, daemon: int, prompts: list[Prompt]) -> None:
        self.line.apply(str(daemon), prompts, self.now)
        self.deliver(lambda: self.answered.__setitem__(daemon, self.now))
        self.issue()

    def make_pace(self) -> EnginePace:
        """Return the pace with streams that occupancy reports show 0.2 s late."""
        known = self.now - 0.2
        running = sum(
            end < known < end + EVENTS * EVENT_TIME for end in self.streams[-20:]
        )
        return EnginePace(TOKEN_TIME, EVENT_TIME, MAX_PAUSE, running)

    def issue(self) -> None:
        pace = self.make_pace()
        for prompt in self.line.issue(pace, self.now):
            key = (int(prompt.daemon), prompt.number)
            self.deliver(lambda key=key: self.send(*key))
        self.recheck += 1
        turn, delay = self.recheck, self.line.compute_next_issue(pace, self.now)
        if delay is not None:
            self.at(
                self.now + delay, lambda: self.issue() if turn == self.recheck else None
            )

    def send(self, daemon: int, number: int) -> None:
        prompt = self.lists[daemon].get(number)
        if daemon in self.dead or prompt is None or prompt.reading:
            return
        self.lists[daemon][number] = replace(prompt, reading=True)
        begin = max(self.free_at, self.now + HOP)
        reading = prompt.tokens * TOKEN_TIME * self.slowdown(begin)
        self.free_at = begin + reading
        self.read.append(Read(prompt, begin, self.free_at))
        self.at(self.free_at + HOP, lambda: self.finish(daemon, number))
        self.report(daemon)

    def finish(self, daemon: int, number: int) -> None:
        del self.lists[daemon][number]
        self.streams.append(self.now)
        self.report(daemon)

    def list_pauses(self) -> list[float]:
        """Return the longest pause of each stream."""
        return [self._compute_pause(index) for index in range(len(self.read))]

    def _compute_pause(self, index: int) -> float:
        now, longest, following = self.read[index].end, 0.0, index + 1
        for _ in range(EVENTS - 1):
            began, missing = now, EVENT_TIME * self.slowdown(now)
            while following < len(self.read):
                next_read = self.read[following]
                if next_read.begin >= now + missing - 1e-9:
                    break
                missing -= max(0.0, next_read.begin - now)
                now, following = next_read.end, following + 1
            now += missing
            longest = max(longest, now - began)
        return longest
