"""A daemon's requests at one brittle endpoint."""

import asyncio
from dataclasses import dataclass, field

from kestreltally.fleet.model import Seconds
from kestreltally.rates import Bucket
from kestreltally.slots.issuer import SlotAnswer


@dataclass(slots=True, eq=False)
class Ask:
    """A request at an endpoint; ``slot`` is the number of its slot, if it has one."""

    number: int
    urgency: int
    asked_at: Seconds
    changed: asyncio.Event
    slot: int | None = None
    is_answered: bool = False


@dataclass(slots=True)
class EndpointRequests:
    """This daemon's requests at an endpoint, and the latest answer of its issuer.

    ``idle`` are slots kept while the issuer is silent, and ``tried`` those that no
    issuer has lent. ``given_back`` maps slots to the serial of the first list without
    them, until that list is answered.
    """

    asks: dict[int, Ask] = field(default_factory=dict)
    idle: set[int] = field(default_factory=set)
    tried: set[int] = field(default_factory=set)
    given_back: dict[int, int] = field(default_factory=dict)
    rejected: int = 0
    serial: int = 0
    sent_at: Seconds = float("-inf")
    unanswered_since: Seconds | None = None
    answer: SlotAnswer | None = None
    answered_at: Seconds = float("-inf")
    trials: Bucket | None = None

    @property
    def waiting(self) -> list[Ask]:
        """Return the requests without a slot, in the order in which they get one."""
        waiting = (each for each in self.asks.values() if each.slot is None)
        return sorted(waiting, key=lambda each: (each.urgency, each.number))

    @property
    def held(self) -> frozenset[int]:
        """Return the numbers of the slots that this daemon has."""
        used = (each.slot for each in self.asks.values() if each.slot is not None)
        return frozenset((*used, *self.idle))

    @property
    def duration(self) -> Seconds:
        """Return how long a slot is held, as the issuer says."""
        return self.answer.duration if self.answer is not None else 0.0

    def count_before(self, ask: Ask) -> int:
        """Return how many requests of this daemon get a slot before another."""
        return sum(
            (each.urgency, each.number) < (ask.urgency, ask.number)
            for each in self.asks.values()
            if each.slot is None
        )

    def predict_wait(self, before: int) -> Seconds:
        """Return how long a request waits behind others here and of other daemons."""
        answer = self.answer
        if answer is None:
            return 0.0
        ahead = max(0, answer.queued + before + 1 - answer.free)
        return answer.duration * ahead / answer.room
