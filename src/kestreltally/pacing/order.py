"""The order in which waiting prompts begin.

Prompts that can meet their objective come before late ones. Among them the more urgent
come first, then those of the organisation that recently got the fewest tokens by its
weight, and then the first to arrive.

A quarter of the tokens goes to the kind that recently got the fewest instead, so that
no organisation, urgency or size starves while others could fill the engine. Late
prompts take part only every fourth time: otherwise they would make others late.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Final, NamedTuple

from kestreltally.fleet.model import Seconds
from kestreltally.pacing.prompts import MESSAGE_DELAY, EnginePace, Prompt
from kestreltally.pacing.shares import FairShares

# For each token granted in order, this many are granted to the least served
# kind: a quarter of all.
ROTATION_RATIO: Final = 1 / 3
# With more kinds than this, those that have no grant ahead are forgotten.
MAX_KINDS: Final = 256
# One in this many grants of the rotation may go to a late prompt.
LATE_ROTATION: Final = 4


class Kind(NamedTuple):
    """Prompts that the rotation treats alike; waiting kinds share its tokens."""

    organisation: str
    urgency: int
    long: bool


@dataclass(slots=True)
class Rotation:
    """Shares out a quarter of the tokens among kinds by start-time fair queueing.

    ``due`` is positive once the kind with the least start comes next. A kind's start is
    the end of its last grant on a scale of tokens, or ``level``, the last start served.
    """

    due: float = 0.0
    rounds: int = 0
    level: float = 0.0
    ends: dict[Kind, float] = field(default_factory=dict)

    def copy(self) -> "Rotation":
        """Return a copy that changes on its own."""
        return replace(self, ends=dict(self.ends))

    def compute_start(self, kind: Kind) -> float:
        """Return the place of a kind; the least comes next."""
        return max(self.level, self.ends.get(kind, 0.0))

    def record(self, kind: Kind, tokens: int, *, others: bool) -> None:
        """Record a grant; ``others`` says whether more than one kind waited."""
        if self.due > 0:
            self.level = self.compute_start(kind)
            self.due -= tokens
            self.rounds += 1
        elif others:
            self.due += ROTATION_RATIO * tokens
        # Grants in order do not add up: the kind may need the rotation later.
        self.ends[kind] = self.level + tokens
        if len(self.ends) > MAX_KINDS:
            ahead = ((each, end) for each, end in self.ends.items() if end > self.level)
            self.ends = dict(ahead)


@dataclass(slots=True)
class _Queue:
    """The prompts of one kind in the order of arrival."""

    timely: deque[Prompt]
    late: deque[Prompt] = field(default_factory=deque)

    def advance(self, now: Seconds) -> None:
        """Move prompts that became late; remove those whose client will have left."""
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
            return self._choose_least_served()
        return min(self._queues, key=self._rank)

    def _choose_least_served(self) -> Kind:
        timely = [kind for kind, queue in self._queues.items() if queue.timely]
        include_late = self._rotation.rounds % LATE_ROTATION == LATE_ROTATION - 1
        eligible = timely if timely and not include_late else self._queues
        rotation = self._rotation
        return min(
            eligible, key=lambda kind: (rotation.compute_start(kind), self._rank(kind))
        )

    def _rank(self, kind: Kind) -> tuple[bool, int, float, Seconds]:
        queue = self._queues[kind]
        head = (queue.timely or queue.late)[0]
        usage = self._usage[kind.organisation]
        return (not queue.timely, kind.urgency, usage, head.asked_at)

    def _count(self, kind: Kind, prompt: Prompt, others: bool) -> None:
        self._rotation.record(kind, prompt.tokens, others=others)
        weight = self._shares.get_weight(prompt.organisation)
        self._usage[prompt.organisation] += prompt.tokens / weight
