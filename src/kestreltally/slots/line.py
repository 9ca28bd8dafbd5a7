"""The slots of one endpoint, and the requests of all daemons that wait for one.

Each daemon always sends its whole list of requests at the endpoint, so a lost message
is made up for by the next one, and another issuer learns from the lists what is lent.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from kestreltally.fleet.model import Seconds
from kestreltally.slots.limit import SlotLimit

# Lists come at least five times a second; what a silent daemon waits for goes to
# others, and what it holds only once its requests must have ended.
WAITING_TTL: Final[Seconds] = 0.8
HELD_TTL: Final[Seconds] = 8.0
# Weight of the latest request in the mean time for which a slot is held.
DURATION_WEIGHT: Final = 0.1
INITIAL_DURATION: Final[Seconds] = 0.1


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that waits for a slot; ``urgency`` 0 is the most urgent."""

    number: int
    urgency: int
    asked_at: Seconds


@dataclass(frozen=True, slots=True)
class SlotList:
    """A daemon's requests at an endpoint, by numbers that it has given them.

    ``held`` have a slot, ``waiting`` are the first of those that wait, and ``queued``
    is how many wait. ``rejected`` counts those that the endpoint ever turned away.
    """

    held: frozenset[int]
    waiting: tuple[WaitingRequest, ...]
    queued: int
    rejected: int


@dataclass(slots=True)
class _Borrower:
    """A daemon: its slots by when they were lent, and what it waits for.

    ``in_transit`` are slots that its latest list does not have yet.
    """

    rejected: int
    received_at: Seconds
    held: dict[int, Seconds] = field(default_factory=dict)
    in_transit: dict[int, Seconds] = field(default_factory=dict)
    waiting: dict[int, WaitingRequest] = field(default_factory=dict)
    queued: int = 0

    @property
    def lent(self) -> int:
        """Return the number of slots that count as lent to the daemon."""
        return len(self.held) + len(self.in_transit)

    @property
    def first_rank(self) -> tuple[int, Seconds]:
        """Return the rank of the first request that waits: lists are in their order."""
        first = next(iter(self.waiting.values()))
        return first.urgency, first.asked_at

    def lend_next(self, now: Seconds) -> int:
        """Lend a slot to the first request that waits; return its number."""
        number = next(iter(self.waiting))
        del self.waiting[number]
        self.queued -= 1
        self.in_transit[number] = now
        return number


class SlotLine:
    """Lends the slots of one endpoint, the most urgent and then the oldest first."""

    def __init__(self, limit: SlotLimit) -> None:
        self.limit = limit
        self.duration = INITIAL_DURATION
        self._borrowers: dict[str, _Borrower] = {}
        self._most_held = 0

    @property
    def lent(self) -> int:
        """Return the number of slots that are lent."""
        return sum(each.lent for each in self._borrowers.values())

    @property
    def is_idle(self) -> bool:
        """Return whether no daemon has or wants a slot."""
        return not any(e.lent or e.waiting for e in self._borrowers.values())

    def count_queued(self, besides: str = "") -> int:
        """Return how many requests wait, without those of one daemon."""
        return sum(e.queued for name, e in self._borrowers.items() if name != besides)

    def apply(self, daemon: str, listed: SlotList, now: Seconds) -> Sequence[int]:
        """Apply a daemon's list; return the slots that it has not noticed yet."""
        lent = self.lent
        borrower = self._borrowers.get(daemon)
        if borrower is None:
            borrower = _Borrower(listed.rejected, now)
            self._borrowers[daemon] = borrower
        rejected = listed.rejected - borrower.rejected
        borrower.rejected, borrower.received_at = listed.rejected, now
        if rejected > 0:
            self.limit.record_rejected(rejected, lent, now)
        known = borrower.held | borrower.in_transit
        for number, lent_at in borrower.held.items():
            if number not in listed.held:
                self.duration += DURATION_WEIGHT * (now - lent_at - self.duration)
        waiting = {each.number: each for each in listed.waiting}
        borrower.held = {number: known.get(number, now) for number in listed.held}
        borrower.in_transit = {
            number: at
            for number, at in borrower.in_transit.items()
            if number in waiting
        }
        borrower.waiting = {
            number: each
            for number, each in waiting.items()
            if number not in borrower.in_transit
        }
        borrower.queued = max(listed.queued - len(borrower.in_transit), 0)
        return list(borrower.in_transit)

    def lend(self, now: Seconds, *, learning: bool = False) -> dict[str, list[int]]:
        """Lend the slots that are free; return their numbers by daemon.

        An issuer that is still ``learning`` what others have lent only lends again what
        was given back to it.
        """
        lent = self.lent
        self._most_held = max(self._most_held, lent) if learning else 0
        lending: dict[str, list[int]] = {}
        while lent < self._compute_allowed(now, learning=learning):
            daemon = self._find_next()
            if daemon is None:
                break
            lent += 1
            number = self._borrowers[daemon].lend_next(now)
            self.limit.record_lent(lent, now)
            lending.setdefault(daemon, []).append(number)
        return lending

    def _compute_allowed(self, now: Seconds, *, learning: bool) -> int:
        allowed = self.limit.compute_allowed(now)
        return min(allowed, self._most_held) if learning else allowed

    def _find_next(self) -> str | None:
        """Return the daemon whose first request gets the next slot."""
        waiting = ((n, e) for n, e in self._borrowers.items() if e.waiting)
        first = min(waiting, key=lambda each: each[1].first_rank, default=None)
        return first[0] if first is not None else None

    def expire(self, now: Seconds) -> None:
        """Drop what daemons wait for or hold that have fallen silent."""
        for daemon, borrower in list(self._borrowers.items()):
            silent_for = now - borrower.received_at
            if silent_for > WAITING_TTL:
                borrower.waiting.clear()
                borrower.queued = 0
            if silent_for > HELD_TTL:
                del self._borrowers[daemon]
