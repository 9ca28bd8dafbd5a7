"""The expected use of adapters, seen by a leader, and the value of each holder."""

from dataclasses import dataclass, replace
from typing import Final

from kestreltally.estimates.prefill import PrefillTimeTable
from kestreltally.fleet.model import Seconds, ServiceName, WeightsKey
from kestreltally.placing.demand import DemandTable
from kestreltally.placing.early import Usage, measure_holder
from kestreltally.placing.plans import HeldAdapter, RequestedAdapter
from kestreltally.placing.trends import TrendTable

# A further holder is kept as if its prompts took this much longer, or it would be
# evicted and loaded again as its rate varies.
KEPT_FACTOR: Final = 1.5


@dataclass(frozen=True, slots=True)
class UsageTable:
    """The expected uses of a service's adapters at one moment.

    The data centres' parts of an adapter's requests follow the recent rates.
    """

    service: ServiceName
    demand: DemandTable
    trends: TrendTable
    prefill_times: PrefillTimeTable
    now: Seconds

    def forecast_rates(self, key: WeightsKey) -> dict[str, float]:
        """Return the expected requests per second of an adapter by data centre."""
        name = (self.service, key)
        expected = self.trends.forecast(name, self.now)
        row = self.demand.rows.get(name)
        if row is None or row.rate <= 0:
            return {}
        factor = expected / row.rate
        return {each: factor * rate for each, rate in row.rates.items()}

    def predict_prefill(self, key: WeightsKey) -> Seconds:
        """Return how long a typical engine processes a prompt; 0 if unknown."""
        tokens = self.trends.read_prompt((self.service, key))
        return tokens * self.prefill_times.typical_token_time

    def expect(self, requested: RequestedAdapter) -> RequestedAdapter:
        """Return a requested adapter with its expected rates and prompts."""
        return replace(
            requested,
            forecasts=self.forecast_rates(requested.key),
            prefill_time=self.predict_prefill(requested.key),
        )

    def appraise(
        self, held: HeldAdapter, data_centre: str, local_holders: int
    ) -> HeldAdapter:
        """Return an adapter on an engine with the value of keeping it there.

        ``local_holders`` are the holders in the engine's data centre, itself included
        unless it is not usable at present.
        """
        total = self.trends.forecast((self.service, held.key), self.now)
        local_rate = total * held.local_rate / held.rate if held.rate > 0 else 0.0
        prefill_time = self.predict_prefill(held.key)
        usage = Usage(total, local_rate, KEPT_FACTOR * local_rate * prefill_time)
        value = measure_holder(
            usage, max(0, held.holders - 1), max(0, local_holders - 1)
        )
        reading = total * prefill_time / max(1, held.holders)
        return replace(held, value=value, reading=reading)
