"""The events of one daemon: what was decided, why, and from what."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final

import msgspec

STAMP_STEP: Final = 1e-6
MAX_CLOCK_SKEW: Final = 60.0
MATCHED_FIELDS: Final = ("request", "adapter", "endpoint", "vm", "part")


@dataclass(frozen=True, slots=True)
class Event:
    """One decision.

    ``stamp`` is hybrid logical time in seconds since 1970 (Kulkarni and others,
    2014): close to the daemon's clock, and above the stamp of everything that the
    event can follow from, here or elsewhere. ``sequence`` orders one run.
    """

    stamp: float
    vm: str
    incarnation: int
    sequence: int
    part: str
    what: str
    reason: str = ""
    request: str = ""
    endpoint: str = ""
    adapter: str = ""
    detail: str = ""


@dataclass(frozen=True, slots=True)
class EventFilter:
    """Which events to show; an empty field lets all pass."""

    request: str = ""
    adapter: str = ""
    endpoint: str = ""
    vm: str = ""
    part: str = ""

    def passes(self, event: Event) -> bool:
        """Tell whether the event is to be shown."""
        for name in MATCHED_FIELDS:
            expected = getattr(self, name)
            if expected and not _matches(getattr(event, name), expected):
                return False
        return True


def _matches(value: str, expected: str) -> bool:
    """Tell whether a field is the wanted one, with or without caller or version."""
    bare = value.partition(":")[2] or value
    return expected in (value, bare, value.partition("@")[0])


class Timeline:
    """A bounded ring of events; the oldest are lost first."""

    def __init__(
        self,
        vm: str,
        incarnation: int,
        limit: int,
        wall_clock: Callable[[], float],
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._wall_clock = wall_clock
        self._sequence = 0
        self._stamp = 0.0
        self._ring: deque[Event] = deque(maxlen=limit)

    def stamp(self) -> float:
        """Return the next hybrid logical time."""
        self._stamp = max(self._wall_clock(), self._stamp + STAMP_STEP)
        return self._stamp

    def observe(self, stamp: float) -> None:
        """Take in the time of a message, unless it is from a far wrong clock."""
        if stamp < self._wall_clock() + MAX_CLOCK_SKEW:
            self._stamp = max(self._stamp, stamp)

    def add(self, part: str, what: str, **more: str) -> Event:
        """Record that ``part`` decided ``what``; ``more`` are fields of ``Event``."""
        self._sequence += 1
        event = Event(
            stamp=self.stamp(),
            vm=self._vm,
            incarnation=self._incarnation,
            sequence=self._sequence,
            part=part,
            what=what,
            **more,
        )
        self._ring.append(event)
        return event

    def select(self, event_filter: EventFilter) -> list[Event]:
        """Return the kept events that pass, oldest first."""
        return [event for event in self._ring if event_filter.passes(event)]


def read_events(plain: Iterable[Any]) -> list[Event]:
    """Return events from their plain form."""
    return msgspec.convert(list(plain), list[Event])
