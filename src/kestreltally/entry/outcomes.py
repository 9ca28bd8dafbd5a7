"""How requests ended at each endpoint, counted until somebody takes the counts."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from kestreltally.fleet.model import EndpointId


@dataclass(frozen=True, slots=True)
class Outcome:
    """How many requests an endpoint answered whole, and how many failed there.

    A failure is a channel that could not be opened or broke, silence, or bytes that
    are no answer; an error that the endpoint told is an answer.
    """

    endpoint: EndpointId
    whole: int
    failed: int


class OutcomeCounter:
    """Counts outcomes by endpoint."""

    def __init__(self) -> None:
        self._whole: Counter[EndpointId] = Counter()
        self._failed: Counter[EndpointId] = Counter()

    def record_completed(self, endpoint: EndpointId) -> None:
        """Count a whole answer."""
        self._whole[endpoint] += 1

    def record_failed(self, endpoint: EndpointId) -> None:
        """Count a failure."""
        self._failed[endpoint] += 1

    def add(self, outcomes: Iterable[Outcome]) -> None:
        """Count what another daemon has counted."""
        for each in outcomes:
            self._whole[each.endpoint] += each.whole
            self._failed[each.endpoint] += each.failed

    def take(self) -> list[Outcome]:
        """Return the counts since the last call and start anew."""
        counts = [
            Outcome(endpoint, self._whole[endpoint], self._failed[endpoint])
            for endpoint in self._whole.keys() | self._failed.keys()
        ]
        self._whole.clear()
        self._failed.clear()
        return counts
