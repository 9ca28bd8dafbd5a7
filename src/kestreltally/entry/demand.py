"""Recent demand for weights at this daemon, for the leader that places adapters."""

from collections import Counter, defaultdict
from dataclasses import dataclass

from kestreltally.fleet.model import EndpointId, Seconds, ServiceName, WeightsKey
from kestreltally.streams.origins import BoundWeights


@dataclass(frozen=True, slots=True)
class WeightsDemand:
    """The requests for one service's weights since the last report.

    ``waiting`` counts those that wait for the weights now, ``within_objective`` those
    of them that can still be answered within their objective. ``prompt_tokens`` is the
    total of the waiting requests. ``missed`` counts requests that were refused because
    the weights were not loaded. ``sent`` counts those sent to an engine, and
    ``sent_tokens`` their prompt tokens that the engine is not known to have cached.
    """

    service: ServiceName
    key: WeightsKey
    arrivals: int
    waiting: int
    missed: int
    within_objective: int = 0
    prompt_tokens: int = 0
    sent: int = 0
    sent_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Waiter:
    """A waiting request.

    It meets its objective if its weights are loaded by ``ready_deadline``.
    """

    ready_deadline: Seconds
    prompt_tokens: int


class DemandCounter:
    """Counts requests by the weights that they need.

    ``counts_prompts`` is true if the prompt tokens sent to engines are counted as well.
    """

    def __init__(self) -> None:
        self._arrivals: dict[tuple[ServiceName, WeightsKey], int] = defaultdict(int)
        self._missed: dict[tuple[ServiceName, WeightsKey], int] = defaultdict(int)
        self._waiting: dict[tuple[ServiceName, WeightsKey], list[Waiter]] = {}
        self._sent: dict[tuple[ServiceName, WeightsKey], list[int]] = defaultdict(list)
        self.uses: dict[tuple[EndpointId, WeightsKey], int] = defaultdict(int)
        self._refused: set[tuple[EndpointId, WeightsKey]] = set()
        # Streams that wait for weights at the software version that began them.
        self.bound: Counter[BoundWeights] = Counter()
        self.counts_prompts = False

    def record_arrival(self, service: ServiceName, key: WeightsKey) -> None:
        """Count a request."""
        self._arrivals[(service, key)] += 1

    def start_wait(self, service: ServiceName, key: WeightsKey, waiter: Waiter) -> None:
        """Count a request that starts to wait for its weights."""
        self._waiting.setdefault((service, key), []).append(waiter)

    def end_wait(self, service: ServiceName, key: WeightsKey, waiter: Waiter) -> None:
        """Stop counting a request as waiting."""
        waiters = self._waiting[(service, key)]
        waiters.remove(waiter)
        if not waiters:
            del self._waiting[(service, key)]

    def start_bound_wait(self, weights: BoundWeights) -> None:
        """Count a stream that starts to wait for weights at its version."""
        self.bound[weights] += 1

    def end_bound_wait(self, weights: BoundWeights) -> None:
        """Stop counting a stream as waiting for weights at its version."""
        self.bound[weights] -= 1
        if not self.bound[weights]:
            del self.bound[weights]

    def record_missed(self, service: ServiceName, key: WeightsKey) -> None:
        """Count a request that was refused because its weights were not loaded."""
        self._missed[(service, key)] += 1

    def record_sent(self, service: ServiceName, key: WeightsKey, tokens: int) -> None:
        """Count a request sent to an engine that has to process prompt tokens."""
        if self.counts_prompts:
            self._sent[(service, key)].append(tokens)

    def record_use(self, endpoint: EndpointId, key: WeightsKey, step: int) -> bool:
        """Count a request that starts (1) or stops (-1) using weights on an engine.

        Return whether it is the first one to start or the last one to stop.
        """
        before = self.uses.get((endpoint, key), 0)
        self.uses[(endpoint, key)] = before + step
        if before + step:
            return not before
        del self.uses[(endpoint, key)]
        return True

    def record_refused(self, endpoint: EndpointId, key: WeightsKey) -> None:
        """Record that an engine refused a request because it lacks the weights."""
        self._refused.add((endpoint, key))

    def pop_refused(self) -> set[tuple[EndpointId, WeightsKey]]:
        """Return and clear the refusals since the last call."""
        popped, self._refused = self._refused, set()
        return popped

    def pop_demand(self, now: Seconds) -> list[WeightsDemand]:
        """Return and clear the counts since the last call."""
        names = (
            self._arrivals.keys()
            | self._waiting.keys()
            | self._missed.keys()
            | self._sent.keys()
        )
        popped = [self._summarise(service, key, now) for service, key in names]
        self._arrivals.clear()
        self._missed.clear()
        self._sent.clear()
        return popped

    def _summarise(
        self, service: ServiceName, key: WeightsKey, now: Seconds
    ) -> WeightsDemand:
        waiters = self._waiting.get((service, key), ())
        sent = self._sent.get((service, key), ())
        return WeightsDemand(
            service=service,
            key=key,
            arrivals=self._arrivals.get((service, key), 0),
            waiting=len(waiters),
            missed=self._missed.get((service, key), 0),
            within_objective=sum(1 for each in waiters if now <= each.ready_deadline),
            prompt_tokens=sum(each.prompt_tokens for each in waiters),
            sent=len(sent),
            sent_tokens=sum(sent),
        )
