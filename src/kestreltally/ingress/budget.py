"""The bytes of clients' requests that this process holds, and who gives way for more.

A part of the budget is kept for small requests, so that large bodies never leave them
without room. Where room is short, requests that are not complete give way: first the
one that has held most bytes for longest. One that is complete is served, and a new one
is refused if nothing gives way.
"""

from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass, field
from typing import Final

from kestreltally.fleet.model import Seconds
from kestreltally.ingress.connections import Connection, Reason

# Requests that hold more than this are large.
LARGE_BYTES: Final = 2**16
# The fraction of the budget that large requests may hold together.
LARGE_FRACTION: Final = 0.7
# A request that is on its way for less is not ended for another.
MIN_AGE: Final[Seconds] = 1.0


class NoRoom(Exception):
    """No request gives way for bytes that are needed."""


@dataclass(frozen=True, slots=True)
class Claim:
    """An unfinished request: the bytes that it holds, and for how long."""

    held: int
    age: Seconds

    @property
    def weight(self) -> float:
        """Return how much it takes from others, in byte-seconds."""
        return self.held * self.age


def choose_victims(claims: Iterable[tuple[Claim, int]], excess: int) -> list[int]:
    """Return the keys of the requests that give way until an excess is gone.

    Empty if all of them together don't suffice.
    """
    old = [each for each in claims if each[0].held and each[0].age >= MIN_AGE]
    chosen = []
    for claim, key in sorted(old, key=lambda each: -each[0].weight):
        if excess <= 0:
            break
        chosen.append(key)
        excess -= claim.held
    return chosen if excess <= 0 else []


@dataclass(slots=True)
class RequestBudget:
    """What all clients' requests hold; ``list_unfinished`` are those that give way."""

    limit: int
    clock: Callable[[], Seconds]
    list_unfinished: Callable[[], Iterable[Connection]]
    held: int = 0
    held_large: int = 0
    refused: int = 0
    ended: int = 0
    _large: set[Connection] = field(default_factory=set)

    def hold(self, connection: Connection, size: int) -> None:
        """Count bytes that are about to be held; raises ``NoRoom``.

        A large request is admitted however large it is while no other one is held: a
        single one needs no more than the memory that is free.
        """
        needed = connection.held + size
        if needed > LARGE_BYTES:
            self._make_room_for_large(connection, needed)
        excess = self.held + size - self.limit
        if (
            excess > 0
            and not self._end_others(connection, excess)
            and not (needed > LARGE_BYTES and self._is_only_large(connection))
        ):
            raise self._make_refusal()
        self._set_held(connection, needed)

    def _make_room_for_large(self, connection: Connection, needed: int) -> None:
        """Have other large requests give way; raises ``NoRoom``."""
        if self._is_only_large(connection):
            return
        before = connection.held if connection in self._large else 0
        room = int(LARGE_FRACTION * self.limit)
        excess = self.held_large - before + needed - room
        if excess > 0 and not self._end_others(connection, excess, self._large):
            raise self._make_refusal()

    def _is_only_large(self, connection: Connection) -> bool:
        return not self._large - {connection}

    def _make_refusal(self) -> NoRoom:
        self.refused += 1
        return NoRoom(f"{self.held} of {self.limit} bytes held")

    def _end_others(
        self,
        connection: Connection,
        excess: int,
        among: Container[Connection] | None = None,
    ) -> bool:
        """End unfinished requests to free an excess; return whether it is free."""
        now = self.clock()
        others = [
            each
            for each in self.list_unfinished()
            if each is not connection and (among is None or each in among)
        ]
        claims = (
            (Claim(each.held, now - each.phase_since), number)
            for number, each in enumerate(others)
        )
        chosen = choose_victims(claims, excess)
        for number in chosen:
            self.ended += 1
            self.release(others[number])
            others[number].end(Reason.MEMORY)
        return bool(chosen)

    def release(self, connection: Connection) -> None:
        """Stop counting the bytes of a request."""
        self._set_held(connection, 0)

    def _set_held(self, connection: Connection, held: int) -> None:
        before = connection.held
        connection.held = held
        self.held += held - before
        if before <= LARGE_BYTES and held <= LARGE_BYTES:
            return
        if connection in self._large:
            self._large.discard(connection)
            self.held_large -= before
        if held > LARGE_BYTES:
            self._large.add(connection)
            self.held_large += held
