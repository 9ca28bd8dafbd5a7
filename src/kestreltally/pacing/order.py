"""The order in which waiting prompts begin.

Prompts still in time come before late ones, then the more urgent, then those of the
organisation with the least tokens of late, by weight, and then the first to arrive.

A quarter of the tokens goes to the least recently served kind instead, so that no
organisation, urgency or size starves while a more urgent kind could fill the engine.
Prompts that are late take part only every fourth time: otherwise late work would make
timely work late.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from kestreltally.fleet.model import Seconds
from kestreltally.pacing.prompts import MESSAGE_DELAY, EnginePace, Prompt
from kestreltally.pacing.shares import FairShares

# For each token granted in order, this many are granted to the least recently served
# kind: a quarter of all.
ROTATION_RATIO: Final = 1 / 3
# Each time of so many, the rotation includes late prompts.
LATE_ROTATION: Final = 4
# Kinds remembered as served; the least recent are forgotten.
MAX_KINDS: Final = 256


class Kind(NamedTuple):
    """What is served at least a quarter as often as all."""

    organisation: str
    urgency: int
    long: bool


@dataclass(slots=True)
class Rotation:
    """Which kinds were served last, and the tokens that are due to others.

    ``due`` is positive once the least recently served kind is to be served.
    """

    due: float = 0.0
    turns: int = 0
    rounds: int = 0
    served: dict[Kind, int] = field(default_factory=dict)

    def copy(self) -> "Rotation":
        """Return a copy that changes on its own."""
        return Rotation(self.due, self.turns, self.rounds, dict(self.served))

    def record(self, kind: Kind) -> None:
        """Record that a prompt of a kind was granted."""
        self.turns += 1
        self.served.pop(kind, None)
        self.served[kind] = self.turns
        if len(self.served) > MAX_KINDS:
            del self.served[next(iter(self.served))]


@dataclass(slots=True)
class _Queue:
    """The prompts of one kind in the order of arrival."""

    timely: deque[Prompt]
    late: deque[Prompt] = field(default_factory=deque)

    def advance(self, now: Seconds) -> None:
        """Move prompts at the head that became late, and remove hopeless ones."""
        while self.timely and self.timely[0].begin_by < now + MESSAGE_DELAY:
            self.late.append(self.timely.popleft())
        while self.late and self.late[0].give_up_at <= now + MESSAGE_DELAY:
            self.late.popleft()
        while self.timely and self.timely[0].give_up_at <= now + MESSAGE_DELAY:
            self.timely.popleft()

    def get_head(self) -> Prompt | None:
        if self.timely:
            return self.timely[0]
        return self.late[0] if self.late else None


class Order:
    """Chooses among prompts, one after another; ``rotation`` is changed by it."""

    def __init__(
        self,
        prompts: Iterable[Prompt],
        pace: EnginePace,
        shares: FairShares,
        rotation: Rotation,
        now: Seconds,
    ) -> None:
        self._shares = shares
        self._rotation = rotation
        self._usage: dict[str, float] = {}
        self._queues: dict[Kind, _Queue] = {}
        long_tokens = pace.compute_group_time() / 2 / pace.token_time
        for prompt in sorted(prompts, key=lambda each: each.asked_at):
            long = prompt.tokens > long_tokens
            kind = Kind(prompt.organisation, prompt.urgency, long)
            queue = self._queues.setdefault(kind, _Queue(deque()))
            timely = prompt.begin_by >= now + MESSAGE_DELAY
            (queue.timely if timely else queue.late).append(prompt)
            if prompt.organisation not in self._usage:
                self._usage[prompt.organisation] = shares.compute_usage(
                    prompt.organisation, now
                )

    def choose(self, now: Seconds) -> Prompt | None:
        """Return the prompt that comes next, or None; it stays first until taken."""
        kind = self._choose_kind(now)
        return None if kind is None else self._queues[kind].get_head()

    def take(self, now: Seconds) -> Prompt | None:
        """Return the prompt that comes next and count it as granted."""
        kind = self._choose_kind(now)
        if kind is None:
            return None
        queue = self._queues[kind]
        others = len(self._queues) > 1
        prompt = (queue.timely or queue.late).popleft()
        self._count(kind, prompt, others)
        if not queue.timely and not queue.late:
            del self._queues[kind]
        return prompt

    def _choose_kind(self, now: Seconds) -> Kind | None:
        """Return the kind that comes next, or None if nothing can begin."""
        for kind, queue in list(self._queues.items()):
            queue.advance(now)
            if queue.get_head() is None:
                del self._queues[kind]
        if not self._queues:
            return None
        if self._rotation.due > 0:
            return self._choose_least_recent()
        return min(self._queues, key=self._rank)

    def _choose_least_recent(self) -> Kind:
        timely = [kind for kind, queue in self._queues.items() if queue.timely]
        include_late = self._rotation.rounds % LATE_ROTATION == LATE_ROTATION - 1
        eligible = timely if timely and not include_late else list(self._queues)
        return min(
            eligible,
            key=lambda kind: (self._rotation.served.get(kind, -1), self._rank(kind)),
        )

    def _rank(self, kind: Kind) -> tuple[bool, int, float, Seconds]:
        queue = self._queues[kind]
        head = (queue.timely or queue.late)[0]
        usage = self._usage[kind.organisation]
        return (not queue.timely, kind.urgency, usage, head.asked_at)

    def _count(self, kind: Kind, prompt: Prompt, others: bool) -> None:
        rotation = self._rotation
        if rotation.due > 0:
            rotation.due -= prompt.tokens
            rotation.rounds += 1
        elif others:
            rotation.due += ROTATION_RATIO * prompt.tokens
        rotation.record(kind)
        weight = self._shares.get_weight(prompt.organisation)
        self._usage[prompt.organisation] += prompt.tokens / weight
