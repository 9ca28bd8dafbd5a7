"""The line of prompts that wait for one engine, over all daemons.

The issuer keeps one line per engine. Daemons replace their part of it with each
message, so that a new issuer knows the whole line once it has heard each daemon. A turn
is a hint: a daemon without an answer sends its prompts unasked, and the line counts
them as being read.
"""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Final

from kestreltally.fleet.model import Seconds
from kestreltally.pacing.group import MIN_STREAM_TIME, PromptKey, ReadingGroup
from kestreltally.pacing.order import Order, Rotation
from kestreltally.pacing.prompts import MESSAGE_DELAY, EnginePace, Prompt
from kestreltally.pacing.shares import FairShares

__all__ = ["EnginePace", "Prompt", "TurnLine"]

# Daemons repeat their prompts every 0.2 s. One that missed two repetitions is gone, or
# has no prompts any more and its last message was lost.
DAEMON_TTL: Final[Seconds] = 0.5
# A granted prompt that is not reported as being read for this long has lost its turn.
GRANT_TTL: Final[Seconds] = 0.3
# A daemon that asks again so long after a grant has not received it.
GRANT_REPEAT_DELAY: Final[Seconds] = 0.05
# A prompt too long for any pause is passed over for this long while many streams run.
MAX_PASSED_OVER: Final[Seconds] = 0.5
# Streams are few at up to FEW_STREAMS of their usual number, which is a moving average
# with STREAMS_WEIGHT for each new value.
FEW_STREAMS: Final = 0.5
STREAMS_WEIGHT: Final = 0.05
# At most this many waits are predicted one by one. Prompts behind these wait for the
# last of them, and at least until their clients leave.
MAX_PREDICTIONS: Final = 200
# Waits are predicted anew after this time for each prompt that waits, so that a long
# line costs its issuer no more than a short one.
PREDICTION_TIME: Final[Seconds] = 0.001
MIN_RECHECK_DELAY: Final[Seconds] = 0.001
LONG_AGO: Final[Seconds] = float("-inf")


@dataclass(slots=True)
class _Entry:
    """A prompt in the line.

    ``granted_at`` is when its turn began. ``lapsed`` says that its daemon let a turn
    pass; it comes behind the others then.
    """

    prompt: Prompt
    granted_at: Seconds | None = None
    lapsed: bool = False


@dataclass(slots=True)
class _Member:
    """A daemon's part of the line."""

    heard_at: Seconds
    entries: dict[int, _Entry] = field(default_factory=dict)


class TurnLine:
    """Decides whose prompts an engine reads next. Times are the issuer's clock.

    ``shares`` may be common to the lines of several engines.
    """

    def __init__(self, shares: FairShares | None = None) -> None:
        self._shares = FairShares() if shares is None else shares
        self._members: dict[str, _Member] = {}
        self._group = ReadingGroup()
        # Granted prompts that are not reported as being read yet, and those of them
        # whose grant was lost.
        self._granted: dict[PromptKey, _Entry] = {}
        self._lost: dict[PromptKey, _Entry] = {}
        self._rotation = Rotation()
        self._pace: EnginePace | None = None
        self._usual_streams: float | None = None
        self._waits: dict[PromptKey, Seconds] = {}
        self._predicted_at = LONG_AGO

    def is_idle(self, now: Seconds) -> bool:
        """Return whether nothing waits or is read, or was read recently.

        An idle line can be dropped; dropping it earlier would lose its break.
        """
        return not self._members and now >= self._group.read_at + MIN_STREAM_TIME

    def count_prompts(self) -> int:
        """Return how many prompts wait or are read."""
        return sum(len(member.entries) for member in self._members.values())

    def list_prompts(self) -> list[Prompt]:
        """Return the prompts that wait or are read; granted ones count as read."""
        return [
            replace(each.prompt, reading=each.granted_at is not None)
            for member in self._members.values()
            for each in member.entries.values()
        ]

    def apply(self, daemon: str, prompts: Sequence[Prompt], now: Seconds) -> None:
        """Replace a daemon's prompts; those that vanished were read or withdrawn."""
        member = self._members.setdefault(daemon, _Member(now))
        member.heard_at = now
        previous, member.entries = member.entries, {}
        for prompt in prompts:
            entry = previous.pop(prompt.number, None) or _Entry(prompt)
            entry.prompt = prompt
            member.entries[prompt.number] = entry
            self._update(entry, now)
        for number in previous:
            self._end((daemon, number), now)
        if not member.entries:
            del self._members[daemon]

    def _update(self, entry: _Entry, now: Seconds) -> None:
        """Bring an entry up to date with its daemon's report."""
        if entry.prompt.reading:
            if entry.granted_at is None:
                # It was sent without a turn.
                self._begin(entry, now)
            self._granted.pop(_make_key(entry), None)
        elif (
            entry.granted_at is not None
            and now >= entry.granted_at + GRANT_REPEAT_DELAY
        ):
            self._lost[_make_key(entry)] = entry

    def _begin(self, entry: _Entry, now: Seconds) -> None:
        """Count a prompt as being read from now on."""
        entry.granted_at = now
        self._granted[_make_key(entry)] = entry
        self._group.begin(_make_key(entry), entry.prompt.tokens, now)
        self._shares.record(entry.prompt.organisation, entry.prompt.tokens, now)

    def _end(self, key: PromptKey, now: Seconds) -> None:
        """Count a prompt as read."""
        self._granted.pop(key, None)
        self._group.end(key, now)

    def expire(self, now: Seconds) -> None:
        """Remove silent daemons, and turns that were not used or take far too long."""
        for daemon, member in list(self._members.items()):
            if now >= member.heard_at + DAEMON_TTL:
                del self._members[daemon]
                for number in member.entries:
                    self._end((daemon, number), now)
        for key, entry in list(self._granted.items()):
            if entry.granted_at is not None and now >= entry.granted_at + GRANT_TTL:
                entry.granted_at, entry.lapsed = None, True
                self._end(key, now)
        if self._pace and now >= self._group.compute_overdue_at(self._pace):
            for key in list(self._group.in_flight):
                self._end(key, now)

    def issue(self, pace: EnginePace, now: Seconds) -> list[Prompt]:
        """Return the prompts whose turn begins now, or whose grant was lost."""
        self._pace = pace
        self.expire(now)
        self._learn_streams(pace)
        lost = self._pop_lost(now)
        self._group.reset_after_break(pace, now)
        return lost + self._grant(pace, now)

    def _grant(self, pace: EnginePace, now: Seconds) -> list[Prompt]:
        """Grant turns in order until the group is full."""
        if self._group.is_full(pace):
            return []
        held_back = self._find_held_back(pace, now)
        waiting = [each for each in self._list_waiting() if id(each) not in held_back]
        if not waiting:
            return []
        order = self._make_order(waiting, pace, self._rotation, now)
        granted: list[Prompt] = []
        while True:
            begin_at = now + self._group.compute_remaining(pace, now)
            prompt = order.choose(begin_at)
            if prompt is None or not self._group.admits(prompt, pace):
                return granted
            order.take(begin_at)
            self._begin(self._members[prompt.daemon].entries[prompt.number], now)
            granted.append(prompt)

    def _make_order(
        self,
        entries: Iterable[_Entry],
        pace: EnginePace,
        rotation: Rotation,
        now: Seconds,
    ) -> Order:
        prompts = (
            replace(each.prompt, begin_by=LONG_AGO) if each.lapsed else each.prompt
            for each in entries
        )
        return Order(prompts, pace, self._shares, rotation, now)

    def _find_held_back(self, pace: EnginePace, now: Seconds) -> dict[int, Seconds]:
        """Return until when prompts wait for fewer streams, by the ``id`` of the entry.

        These are prompts that make every stream pause too long on their own.
        """
        if not self._group.has_streams(pace, now) or self._has_few_streams(pace):
            return {}
        limit = pace.compute_pause_tokens()
        held_back = {}
        for entry in self._list_waiting():
            prompt = entry.prompt
            if prompt.tokens > limit:
                # It must not be late only because it was passed over.
                timely_until = prompt.begin_by - pace.max_pause
                until = min(prompt.asked_at + MAX_PASSED_OVER, timely_until)
                if until > now:
                    held_back[id(entry)] = until
        return held_back

    def _has_few_streams(self, pace: EnginePace) -> bool:
        usual = self._usual_streams
        return usual is not None and pace.streams <= FEW_STREAMS * usual

    def _learn_streams(self, pace: EnginePace) -> None:
        if self._usual_streams is None:
            self._usual_streams = pace.streams
        self._usual_streams += STREAMS_WEIGHT * (pace.streams - self._usual_streams)

    def _pop_lost(self, now: Seconds) -> list[Prompt]:
        """Return the prompts to be granted again because the grant was lost."""
        lost, self._lost = self._lost, {}
        return [
            entry.prompt
            for key, entry in lost.items()
            if key in self._granted and entry.prompt.give_up_at > now + MESSAGE_DELAY
        ]

    def compute_next_issue(self, pace: EnginePace, now: Seconds) -> Seconds | None:
        """Return the delay after which to call ``issue`` again without a message.

        It is None if nothing waits. To be called after ``issue``.
        """
        if next(self._list_waiting(), None) is None:
            return None
        times = [member.heard_at + DAEMON_TTL for member in self._members.values()]
        times += [
            entry.granted_at + GRANT_TTL
            for entry in self._granted.values()
            if entry.granted_at is not None
        ]
        times += self._find_held_back(pace, now).values()
        if self._group.in_flight:
            times.append(self._group.compute_overdue_at(pace))
        if not self._group.in_flight or not self._group.has_streams(pace, now):
            times.append(self._group.compute_break_end(pace, now))
        later = [each - now for each in times if each > now]
        return max(MIN_RECHECK_DELAY, min(later, default=DAEMON_TTL))

    def predict_waits(
        self, pace: EnginePace, now: Seconds
    ) -> dict[tuple[str, int], Seconds]:
        """Return how long each waiting prompt is expected to wait until it begins.

        A prompt that can't begin before its client leaves gets a longer wait than the
        client's. A new prompt may be missing until the next prediction.
        """
        waiting = {_make_key(entry): entry for entry in self._list_waiting()}
        age = now - self._predicted_at
        if age >= PREDICTION_TIME * len(waiting):
            self._waits = self._predict(waiting, pace, now)
            self._predicted_at, age = now, 0.0
        return {
            key: max(0.0, wait - age)
            for key, wait in self._waits.items()
            if key in waiting
        }

    def _predict(
        self, waiting: Mapping[PromptKey, _Entry], pace: EnginePace, now: Seconds
    ) -> dict[PromptKey, Seconds]:
        order = self._make_order(waiting.values(), pace, self._rotation.copy(), now)
        forecast = self._group.forecast(pace, now)
        waits: dict[PromptKey, Seconds] = {}
        while len(waits) < MAX_PREDICTIONS:
            prompt = order.take(forecast.free_at)
            if prompt is None:
                break
            waits[prompt.daemon, prompt.number] = forecast.add(prompt.tokens) - now
        for key, entry in waiting.items():
            beyond = max(forecast.free_at, entry.prompt.give_up_at) - now
            waits.setdefault(key, beyond)
        return waits

    def _list_waiting(self) -> Iterator[_Entry]:
        for member in self._members.values():
            for entry in member.entries.values():
                if entry.granted_at is None and not entry.prompt.reading:
                    yield entry


def _make_key(entry: _Entry) -> PromptKey:
    return (entry.prompt.daemon, entry.prompt.number)
