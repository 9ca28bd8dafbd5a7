"""The prompts that an engine reads between two breaks.

A stream's event waits for at most one group and its own event time: a break of one
event time without reading completes the events of all streams. Prompts may join a group
at any time, also while it is read, as long as the whole of it fits.
"""

from dataclasses import dataclass, field
from typing import Final

from kestreltally.fleet.model import Seconds
from kestreltally.pacing.prompts import MESSAGE_DELAY, EnginePace, Prompt

# After its prompt has been read, a request counts as a stream for at least this long,
# because occupancy reports show it only after a delay.
MIN_STREAM_TIME: Final[Seconds] = 0.5
# Without streams the next prompt is sent this long before the previous one has been
# read: the time in transit of a grant and of a request.
SEND_AHEAD: Final[Seconds] = 0.01
# Reading that takes this many times as long as predicted, and this much longer, is not
# waited for: its report was lost, or the engine hangs. A slow engine takes 2.5 times.
OVERDUE_FACTOR: Final = 3.0
OVERDUE_SLACK: Final[Seconds] = 0.3
MIN_PROMPT_TOKENS: Final = 1
# A break is prolonged by the factor by which reading took longer than predicted, up to
# this: a slow engine needs longer for an event as well.
MAX_SLOWDOWN: Final = 3.0

# A prompt's daemon and its number there.
PromptKey = tuple[str, int]


@dataclass(slots=True)
class Forecast:
    """When prompts will begin that are taken one after another.

    ``tokens`` are those of the group so far, ``free_at`` is when the engine can read
    the next prompt, and ``break_end`` when it can read one of the next group.
    """

    pace: EnginePace
    tokens: int
    free_at: Seconds
    break_end: Seconds

    def add(self, tokens: int) -> Seconds:
        """Return when a prompt begins that comes next, and count it."""
        begin_at = self.free_at
        if not _fits(self.tokens, tokens, self.pace):
            begin_at = max(begin_at, self.break_end)
            self.tokens = 0
        self.tokens += tokens
        self.free_at = begin_at + self.pace.compute_reading_time(tokens)
        self.break_end = self.free_at + self.pace.compute_break() + MESSAGE_DELAY
        return begin_at


@dataclass(slots=True)
class ReadingGroup:
    """What an engine reads, has to read, and has read since the last break.

    ``tokens`` counts all since the break, ``in_flight`` those of prompts whose first
    event is not reported yet. ``progressed_at`` is when reading last began or ended,
    ``read_at`` when it last ended. ``read_tokens`` were read since the break, in
    ``read_time``.
    """

    tokens: int = 0
    in_flight: dict[PromptKey, int] = field(default_factory=dict)
    progressed_at: Seconds = float("-inf")
    read_at: Seconds = float("-inf")
    read_tokens: int = 0
    read_time: Seconds = 0.0

    def begin(self, key: PromptKey, tokens: int, now: Seconds) -> None:
        """Record that a prompt goes to the engine."""
        if key in self.in_flight:
            return
        if not self.in_flight:
            self.progressed_at = now
        self.in_flight[key] = tokens
        self.tokens += tokens

    def end(self, key: PromptKey, now: Seconds) -> None:
        """Record that a prompt's first event was seen, or that it was withdrawn."""
        tokens = self.in_flight.pop(key, None)
        if tokens is not None:
            self.read_tokens += tokens
            self.read_time += max(0.0, now - self.progressed_at)
            self.progressed_at = max(now, self.progressed_at)
            self.read_at = self.progressed_at

    def has_streams(self, pace: EnginePace, now: Seconds) -> bool:
        """Return whether streams run at the engine that reading delays."""
        return pace.streams > 0 or now < self.read_at + MIN_STREAM_TIME

    def compute_remaining(self, pace: EnginePace, now: Seconds) -> Seconds:
        """Return how long the engine still reads, as predicted."""
        if not self.in_flight:
            return 0.0
        reading_time = pace.compute_reading_time(sum(self.in_flight.values()))
        return max(0.0, self.progressed_at + reading_time - now)

    def compute_overdue_at(self, pace: EnginePace) -> Seconds:
        """Return when the prompts in flight are no longer waited for."""
        reading_time = pace.compute_reading_time(sum(self.in_flight.values()))
        return self.progressed_at + OVERDUE_FACTOR * reading_time + OVERDUE_SLACK

    def compute_break(self, pace: EnginePace) -> Seconds:
        """Return the break after what was read, during which streams get an event."""
        predicted = pace.compute_reading_time(self.read_tokens)
        took = self.read_time - pace.event_time - 2 * MESSAGE_DELAY
        if took <= predicted:
            return pace.compute_break()
        slowdown = min(MAX_SLOWDOWN, took / predicted) if predicted else MAX_SLOWDOWN
        return slowdown * pace.compute_break()

    def compute_break_end(self, pace: EnginePace, now: Seconds) -> Seconds:
        """Return when the next group may begin, as predicted."""
        if not self.has_streams(pace, now):
            return now + max(0.0, self.compute_remaining(pace, now) - SEND_AHEAD)
        if self.in_flight:
            return now + self.compute_remaining(pace, now) + self.compute_break(pace)
        return max(now, self.progressed_at + self.compute_break(pace))

    def reset_after_break(self, pace: EnginePace, now: Seconds) -> None:
        """Begin a new group if every stream got an event since the last."""
        if self.has_streams(pace, now) and self.in_flight:
            return
        if self.compute_break_end(pace, now) <= now:
            self.tokens = self.read_tokens = 0
            self.read_time = 0.0

    def admits(self, prompt: Prompt, pace: EnginePace) -> bool:
        """Return whether a prompt may be read before the next break."""
        return _fits(self.tokens, prompt.tokens, pace)

    def is_full(self, pace: EnginePace) -> bool:
        """Return whether no prompt may be read before the next break."""
        return not _fits(self.tokens, MIN_PROMPT_TOKENS, pace)

    def forecast(self, pace: EnginePace, now: Seconds) -> Forecast:
        """Return a forecast for the prompts that wait."""
        return Forecast(
            pace=pace,
            tokens=self.tokens,
            free_at=now + self.compute_remaining(pace, now),
            break_end=self.compute_break_end(pace, now),
        )


def _fits(tokens: int, more: int, pace: EnginePace) -> bool:
    """Return whether a group may grow by a prompt; the first always fits."""
    reading_time = pace.compute_reading_time(tokens + more)
    return not tokens or reading_time <= pace.compute_group_time()
