"""What all daemons observed of one engine, in slices of time."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from statistics import median, median_high, median_low
from typing import Final

from kestreltally.speeds.observations import Observed, Sums

# Fewer slices with observations, or fewer daemons, do not suffice.
MIN_SLICES: Final = 4
MIN_WITNESSES: Final = 3

Witness = int


@dataclass(frozen=True, slots=True)
class Measured:
    """The median and the spread of an engine's slices, as logarithms of ratios."""

    centre: float
    spread: float


@dataclass(frozen=True, slots=True)
class Summary:
    """The median over daemons of one slice, and these daemons."""

    centre: float
    witnesses: frozenset[Witness]


@dataclass(slots=True)
class Slice:
    """What was observed in one slice, by daemon; summaries are computed once."""

    number: int
    observed: dict[Witness, Observed] = field(default_factory=dict)
    _summaries: tuple[Summary | None, Summary | None] | None = None

    def add(self, witness: Witness, observed: Observed) -> None:
        """Add what a daemon observed."""
        before = self.observed.get(witness)
        self.observed[witness] = observed if before is None else before.add(observed)
        self._summaries = None

    def summarise(self) -> tuple[Summary | None, Summary | None]:
        """Return the summaries of reading and of streaming, None if not observed."""
        if self._summaries is None:
            every = self.observed.items()
            self._summaries = (
                _summarise({k: each.reading for k, each in every}),
                _summarise({k: each.streaming for k, each in every}),
            )
        return self._summaries


@dataclass(slots=True)
class Outcomes:
    """The answers in one slice, and the daemons that saw some fail."""

    number: int
    whole: int = 0
    failed: int = 0
    witnesses: set[Witness] = field(default_factory=set)

    def add(self, witness: Witness, observed: Observed) -> None:
        """Add what a daemon observed."""
        self.whole += observed.whole
        self.failed += observed.failed
        if observed.failed:
            self.witnesses.add(witness)


def _summarise(sums: Mapping[Witness, Sums]) -> Summary | None:
    means = {witness: each.mean for witness, each in sums.items() if each.count}
    return Summary(median(means.values()), frozenset(means)) if means else None


def measure(summaries: Iterable[Summary | None]) -> Measured | None:
    """Return what most slices agree on, None if too little was observed.

    The centre is the one of the two middle slices that is closer to typical.
    """
    observed = [each for each in summaries if each is not None]
    if len(observed) < MIN_SLICES:
        return None
    if len(frozenset().union(*(each.witnesses for each in observed))) < MIN_WITNESSES:
        return None
    centres = [each.centre for each in observed]
    centre = min(median_low(centres), median_high(centres), key=abs)
    return Measured(centre, median(abs(each - centre) for each in centres))


def count_outcomes(outcomes: Sequence[Outcomes]) -> tuple[int, int, int]:
    """Return the whole answers, the failed ones, and the daemons that saw these."""
    witnesses = frozenset().union(*(each.witnesses for each in outcomes))
    return (
        sum(each.whole for each in outcomes),
        sum(each.failed for each in outcomes),
        len(witnesses),
    )
