"""Prompts that wait for an engine, and what reading costs there."""

import math
from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import Seconds

# The fraction of the longest allowed pause that reading between two events of a stream
# may take at the engine's usual speed. An engine that runs 2.5 times slower for a
# moment still keeps the pause, which is all that callers notice.
PAUSE_FRACTION: Final = 0.4
# A grant takes some ms to reach the engine, and the report of a first event the issuer.
MESSAGE_DELAY: Final[Seconds] = 0.005


@dataclass(frozen=True, slots=True)
class Prompt:
    """A prompt that waits for its turn at an engine, or that the engine reads.

    ``number`` is unique among the prompts of its daemon, ``tokens`` are those that the
    engine has not cached, ``urgency`` is 0 for the most urgent and ``organisation``
    empty if there is none. Times are those of the issuer's clock: ``begin_by`` is the
    latest begin of reading that meets the objective, ``give_up_at`` the latest before
    the client leaves. ``reading`` says that it was sent and has no first event yet.
    """

    daemon: str
    number: int
    tokens: int
    urgency: int
    organisation: str
    asked_at: Seconds
    begin_by: Seconds
    give_up_at: Seconds
    reading: bool


@dataclass(frozen=True, slots=True)
class EnginePace:
    """What reading costs at one engine.

    ``token_time`` is prefill seconds per prompt token, ``event_time`` the seconds
    between two events of a stream while nothing is read, ``max_pause`` the pause that
    the strictest route allows, 0 for no limit, and ``streams`` the requests in flight
    whose prompts have been read. ``first_event_delay`` is the estimated seconds from
    the end of a prompt's reading to its first event.
    """

    token_time: Seconds
    event_time: Seconds
    max_pause: Seconds
    streams: int
    first_event_delay: Seconds = 0.0

    def compute_reading_time(self, tokens: int) -> Seconds:
        """Return how long the engine reads some tokens at its usual speed."""
        return tokens * self.token_time

    def compute_group_time(self) -> Seconds:
        """Return the reading time that fits between two events of a stream.

        The time of the event itself is subtracted.
        """
        if self.max_pause <= 0:
            return math.inf
        return max(0.0, PAUSE_FRACTION * self.max_pause - self.event_time)

    def compute_break(self) -> Seconds:
        """Return the break after a group, counted from the report of its last event.

        The times in transit of that report and of the next grant prolong the break.
        """
        return max(0.0, self.event_time - self.first_event_delay)

    def compute_pause_tokens(self) -> float:
        """Return how many tokens can be read without making streams pause too long.

        There is no limit where streams pause too long though nothing is read.
        """
        if self.event_time >= self.max_pause:
            return math.inf
        return (self.max_pause - self.event_time) / self.token_time
