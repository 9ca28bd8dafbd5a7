"""Counts request outcomes by endpoint until the counts are reported."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from kestreltally.fleet.model import EndpointId


@dataclass(frozen=True, slots=True)
class Outcome:
    """The number of complete answers and of failures at an endpoint.

    A failure is a connection that could not be opened or that broke, a silent endpoint,
    or bytes that are not a valid answer. An error status from the endpoint is an
    answer.
    """

    endpoint: EndpointId
    completed: int
    failed: int


class OutcomeCounter:
    """Counts outcomes by endpoint."""

    def __init__(self) -> None:
        self._completed: Counter[EndpointId] = Counter()
        self._failed: Counter[EndpointId] = Counter()

    def record_completed(self, endpoint: EndpointId) -> None:
        """Count a complete answer."""
        self._completed[endpoint] += 1

    def record_failed(self, endpoint: EndpointId) -> None:
        """Count a failure."""
        self._failed[endpoint] += 1

    def add(self, outcomes: Iterable[Outcome]) -> None:
        """Add the counts of another daemon."""
        for each in outcomes:
            self._completed[each.endpoint] += each.completed
            self._failed[each.endpoint] += each.failed

    def pop(self) -> list[Outcome]:
        """Return and clear the counts since the last call."""
        counts = [
            Outcome(endpoint, self._completed[endpoint], self._failed[endpoint])
            for endpoint in self._completed.keys() | self._failed.keys()
        ]
        self._completed.clear()
        self._failed.clear()
        return counts
