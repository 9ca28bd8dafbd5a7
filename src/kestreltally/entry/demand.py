"""What clients asked of this daemon lately, for the leader that places adapters."""

from collections import defaultdict
from dataclasses import dataclass

from kestreltally.fleet.model import EndpointId, ServiceName, WeightsKey


@dataclass(frozen=True, slots=True)
class WeightsDemand:
    """The requests for some weights since the last report.

    ``waiting`` counts those that wait for the weights to come now, ``missed`` those
    that were refused for want of them.
    """

    service: ServiceName
    key: WeightsKey
    arrivals: int
    waiting: int
    missed: int


class DemandCounter:
    """Counts requests by the weights that they need."""

    def __init__(self) -> None:
        self._arrivals: dict[tuple[ServiceName, WeightsKey], int] = defaultdict(int)
        self._missed: dict[tuple[ServiceName, WeightsKey], int] = defaultdict(int)
        self._waiting: dict[tuple[ServiceName, WeightsKey], int] = defaultdict(int)
        self.uses: dict[tuple[EndpointId, WeightsKey], int] = defaultdict(int)
        self._refused: set[tuple[EndpointId, WeightsKey]] = set()

    def note_arrival(self, service: ServiceName, key: WeightsKey) -> None:
        """Count a request."""
        self._arrivals[(service, key)] += 1

    def note_waiting(self, service: ServiceName, key: WeightsKey, step: int) -> None:
        """Count a request that begins (1) or ends (-1) to wait for its weights."""
        self._waiting[(service, key)] += step
        if not self._waiting[(service, key)]:
            del self._waiting[(service, key)]

    def note_missed(self, service: ServiceName, key: WeightsKey) -> None:
        """Count a request that was refused because its weights were not there."""
        self._missed[(service, key)] += 1

    def note_use(self, endpoint: EndpointId, key: WeightsKey, step: int) -> None:
        """Count a request that begins (1) or ends (-1) to use weights on an engine."""
        self.uses[(endpoint, key)] += step
        if not self.uses[(endpoint, key)]:
            del self.uses[(endpoint, key)]

    def note_refused(self, endpoint: EndpointId, key: WeightsKey) -> None:
        """Note that an engine refused a request for want of its weights."""
        self._refused.add((endpoint, key))

    def take_refused(self) -> set[tuple[EndpointId, WeightsKey]]:
        """Return the refusals since the last call and start anew."""
        taken, self._refused = self._refused, set()
        return taken

    def take(self) -> list[WeightsDemand]:
        """Return the counts since the last call and start anew."""
        names = self._arrivals.keys() | self._waiting.keys() | self._missed.keys()
        taken = [
            WeightsDemand(
                service=service,
                key=key,
                arrivals=self._arrivals.get((service, key), 0),
                waiting=self._waiting.get((service, key), 0),
                missed=self._missed.get((service, key), 0),
            )
            for service, key in names
        ]
        self._arrivals.clear()
        self._missed.clear()
        return taken
