"""The events of one daemon: its decisions, with reasons and inputs."""

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

    ``stamp`` is hybrid logical time in seconds since 1970 (Kulkarni et al., 2014):
    close to the daemon's clock, and greater than the stamps of all events that may have
    caused this one, on any daemon. ``sequence`` orders the events of one run.
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
    """Selects events; an empty field matches any value."""

    request: str = ""
    adapter: str = ""
    endpoint: str = ""
    vm: str = ""
    part: str = ""

    def passes(self, event: Event) -> bool:
        """Return whether the event matches all fields."""
        for name in MATCHED_FIELDS:
            expected = getattr(self, name)
            if expected and not _matches(getattr(event, name), expected):
                return False
        return True


def _matches(value: str, expected: str) -> bool:
    """Return whether a field matches, with or without its caller or version."""
    bare = value.partition(":")[2] or value
    return expected in (value, bare, value.partition("@")[0])


class Timeline:
    """A bounded ring buffer of events; the oldest are discarded first."""

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
        """Advance the clock to a message's stamp.

        Stamps of clocks that are too far ahead are ignored.
        """
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
        """Return the matching events in the buffer, oldest first."""
        return [event for event in self._ring if event_filter.passes(event)]


def read_events(plain: Iterable[Any]) -> list[Event]:
    """Return events from their decoded JSON form."""
    return msgspec.convert(list(plain), list[Event])
