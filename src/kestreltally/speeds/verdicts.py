"""Decides which engines differ from the typical one, from what all daemons observed.

Time is divided into slices. In each slice the median over daemons counts, so that a
single daemon blames nobody, and over the recent slices the median again, so that an
engine that is slow for less than half of them is waited out. An engine that fails part
of its requests gets a small share of them, which doubles for as long as nothing fails.
"""

import math
from collections import defaultdict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from statistics import median
from typing import Final

from kestreltally.fleet.model import (
    EndpointId,
    Seconds,
    ServiceName,
    is_other_incarnation,
)
from kestreltally.speeds.observations import Observed
from kestreltally.speeds.slices import (
    MIN_WITNESSES,
    Measured,
    Outcomes,
    Slice,
    Witness,
    count_outcomes,
    measure,
)

# Length of a slice, and slices in the window. An engine counts as slow if it was slow
# in most of them, that is for 2 s or more.
SLICE: Final[Seconds] = 0.5
WINDOW_SLICES: Final = 8
# An engine counts as slow from MIN_FACTOR on, until it is below KEPT_FACTOR. Engines
# that read more prompts than others send their streams slower by less than MIN_FACTOR.
MIN_FACTOR: Final = 1.6
KEPT_FACTOR: Final = 1.3
# An engine slower than this is as good as lost, or mismeasured.
MAX_FACTOR: Final = 6.0
# An engine is failing if at least MIN_FAILURES of its answers failed, or
# MIN_FAILURES_ON_TRIAL while its share is reduced, and if the fraction that failed
# exceeds the usual one of its service by FAILED_MARGIN.
MIN_FAILURES: Final = 4
MIN_FAILURES_ON_TRIAL: Final = 2
FAILED_MARGIN: Final = 0.2
# So many standard deviations more than usual are not chance.
SIGNIFICANT_DEVIATIONS: Final = 2.5
# The usual fraction of failures is not assumed to be lower than this.
MIN_USUAL_FRACTION: Final = 0.02
# The share of its usual requests that a failing engine still gets: enough for its
# recovery to be seen, and few callers suffer if it has not recovered.
FAILING_SHARE: Final = 0.1
SHARE_STEP: Final[Seconds] = 1.0
# If more than this fraction of a service's engines fail, the cause is elsewhere.
MAX_FAILING_FRACTION: Final = 0.3


@dataclass(frozen=True, slots=True)
class Verdict:
    """How an engine differs from the typical one.

    ``reading`` and ``streaming`` are factors on the time per prompt token and per event
    of a stream, ``share`` is the fraction of its usual requests that it should get, and
    ``slow_for`` how long the engine has differed in speed.
    """

    start_time_ms: int
    reading: float = 1.0
    streaming: float = 1.0
    share: float = 1.0
    slow_for: Seconds = 0.0

    @property
    def is_typical(self) -> bool:
        """Return whether the engine does not differ."""
        return self.reading == self.streaming == self.share == 1.0


@dataclass(slots=True)
class EngineRecord:
    """The recent slices of an engine, and what was decided last.

    ``slices`` serves the speed; ``outcomes`` are those since the last failing verdict.
    """

    start_time_ms: int
    service: ServiceName
    slices: deque[Slice] = field(default_factory=lambda: deque(maxlen=WINDOW_SLICES))
    outcomes: deque[Outcomes] = field(
        default_factory=lambda: deque(maxlen=WINDOW_SLICES)
    )
    reading: float = 1.0
    streaming: float = 1.0
    share: float = 1.0
    share_changed_at: Seconds = 0.0
    slow_since: Seconds | None = None

    def add(self, number: int, witness: Witness, observed: Observed) -> None:
        """Add what a daemon observed to the slice of a number."""
        if not self.slices or self.slices[-1].number != number:
            self.slices.append(Slice(number))
        if not self.outcomes or self.outcomes[-1].number != number:
            self.outcomes.append(Outcomes(number))
        self.slices[-1].add(witness, observed)
        self.outcomes[-1].add(witness, observed)

    def drop_old(self, number: int) -> None:
        """Drop the slices that have left the window."""
        oldest = number - WINDOW_SLICES
        while self.slices and self.slices[0].number <= oldest:
            self.slices.popleft()
        while self.outcomes and self.outcomes[0].number <= oldest:
            self.outcomes.popleft()


def decide_factor(measured: Measured | None, before: float) -> float:
    """Return how much slower an engine is, 1 if it does not differ.

    The difference must also exceed the spread.
    """
    if measured is None:
        return 1.0
    needed = math.log(MIN_FACTOR if before == 1.0 else KEPT_FACTOR)
    if measured.centre < max(needed, measured.spread):
        return 1.0
    return min(MAX_FACTOR, math.exp(measured.centre))


class VerdictTable:
    """The engines that a leader evaluates."""

    def __init__(self) -> None:
        self._records: dict[EndpointId, EngineRecord] = {}

    def record(
        self,
        endpoint: EndpointId,
        start_time_ms: int,
        service: ServiceName,
        witness: Witness,
        observed: Observed,
        now: Seconds,
    ) -> None:
        """Record what a daemon observed of one incarnation of an engine."""
        known = self._records.get(endpoint)
        if known is not None and is_other_incarnation(
            known.start_time_ms, start_time_ms
        ):
            if start_time_ms < known.start_time_ms:
                return
            known = None
        if known is None:
            known = self._records[endpoint] = EngineRecord(start_time_ms, service)
        known.add(int(now / SLICE), witness, observed)

    def evaluate(self, now: Seconds) -> dict[EndpointId, Verdict]:
        """Return the engines that differ from the typical one."""
        for record in self._records.values():
            record.drop_old(int(now / SLICE))
            _decide_speed(record, now)
        self._decide_shares(now)
        verdicts = (
            (name, _make_verdict(record, now)) for name, record in self._records.items()
        )
        return {name: each for name, each in verdicts if not each.is_typical}

    def retain(self, endpoints: Callable[[EndpointId], bool]) -> None:
        """Drop the engines that this daemon does not lead any more."""
        self._records = {k: v for k, v in self._records.items() if endpoints(k)}

    def _decide_shares(self, now: Seconds) -> None:
        for records in self._list_by_service():
            usual = median(_compute_failed_fraction(each) for each in records)
            limit = MAX_FAILING_FRACTION * len(records)
            failing = sum(each.share < 1.0 for each in records)
            for record in records:
                if _is_failing(record, usual):
                    if record.share < 1.0 or failing + 1 <= limit:
                        failing += record.share == 1.0
                        _set_share(record, FAILING_SHARE, now)
                        record.outcomes.clear()
                elif record.share < 1.0 and now - record.share_changed_at >= SHARE_STEP:
                    _set_share(record, min(1.0, 2 * record.share), now)

    def _list_by_service(self) -> Iterator[list[EngineRecord]]:
        grouped = defaultdict(list)
        for record in self._records.values():
            grouped[record.service].append(record)
        yield from grouped.values()


def _decide_speed(record: EngineRecord, now: Seconds) -> None:
    """Decide the factors of an engine.

    The reading factor counts only where streams are slow too, because the time per
    prompt token also varies with what an engine has cached for other daemons. Where
    only streams are slow, their factor is used for reading as well.
    """
    reading = measure(each.summarise()[0] for each in record.slices)
    streaming = measure(each.summarise()[1] for each in record.slices)
    record.streaming = decide_factor(streaming, record.streaming)
    record.reading = decide_factor(reading, record.streaming)
    if 1.0 in (record.reading, record.streaming):
        record.reading = record.streaming
    if record.streaming == 1.0:
        record.slow_since = None
    elif record.slow_since is None:
        record.slow_since = now


def _compute_failed_fraction(record: EngineRecord) -> float:
    whole, failed, _ = count_outcomes(record.outcomes)
    return failed / max(1, whole + failed)


def _is_failing(record: EngineRecord, usual: float) -> bool:
    """Return whether an engine fails more than the usual fraction of its requests.

    One on trial needs fewer failures.
    """
    whole, failed, witnesses = count_outcomes(record.outcomes)
    usual = max(usual, MIN_USUAL_FRACTION)
    deviation = math.sqrt(usual * (1 - usual) / max(1, whole + failed))
    margin = max(FAILED_MARGIN, SIGNIFICANT_DEVIATIONS * deviation)
    if failed < (usual + margin) * (whole + failed):
        return False
    if record.share < 1.0:
        return failed >= MIN_FAILURES_ON_TRIAL
    return failed >= MIN_FAILURES and witnesses >= MIN_WITNESSES


def _set_share(record: EngineRecord, share: float, now: Seconds) -> None:
    record.share = share
    record.share_changed_at = now


def _make_verdict(record: EngineRecord, now: Seconds) -> Verdict:
    since = record.slow_since
    return Verdict(
        start_time_ms=record.start_time_ms,
        reading=record.reading,
        streaming=record.streaming,
        share=record.share,
        slow_for=0.0 if since is None else now - since,
    )
