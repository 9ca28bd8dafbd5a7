"""Aggregates the reports of a leader's group, for itself and for other leaders."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from kestreltally.entry.demand import WeightsDemand
from kestreltally.entry.outcomes import Outcome, OutcomeCounter
from kestreltally.fleet.model import (
    Endpoint,
    EndpointId,
    Seconds,
    WeightsKey,
)
from kestreltally.fleet.tables import Fleet
from kestreltally.knowledge.rows import (
    encode_demand,
    encode_outcomes,
    encode_spending,
    encode_use,
)
from kestreltally.placing.demand import DemandKey
from kestreltally.placing.leader import Leader
from kestreltally.placing.lease import Lease
from kestreltally.quotas.ledger import Ledger
from kestreltally.quotas.spending import Spending, SpendingCounter

Use = tuple[EndpointId, WeightsKey]


class GroupAggregator:
    """Applies the reports of this leader's followers and of other leaders.

    Data on engines that this daemon leads goes to its leader and ledger; other data is
    kept for the leaders of those engines until it is reported. ``get_leader`` returns
    this daemon's ``Leader``, None while the daemon is being constructed.
    """

    def __init__(
        self,
        fleet: Fleet,
        leases: Mapping[str, Lease],
        ledger: Ledger,
        get_leader: Callable[[], Leader | None],
        get_lease: Callable[[Endpoint], Lease],
        clock: Callable[[], Seconds],
    ) -> None:
        self._fleet = fleet
        self._leases = leases
        self._ledger = ledger
        self._get_leader = get_leader
        self._get_lease = get_lease
        self._clock = clock
        # Units spent through this group by organisation, for the other leaders.
        self._spendings = {name: SpendingCounter(ledger.window) for name in leases}
        self._refused: dict[str, set[Use]] = {name: set() for name in leases}
        # Outcomes of this group's requests, for the leaders of the endpoints.
        self._outcomes = {name: OutcomeCounter() for name in leases}
        # Requests of this group for weights that only engines of other data centres
        # hold, by those data centres: their leaders need to know the demand.
        self._served_remotely: dict[str, dict[DemandKey, WeightsDemand]] = {
            name: {} for name in leases
        }

    # Received reports.

    def apply_spendings(self, spendings: list[Spending], *, of_group: bool) -> None:
        """Record spent units; keep those of this group for the other leaders too."""
        self._ledger.record(spendings, self._clock())
        if of_group:
            for counter in self._spendings.values():
                counter.add(spendings)

    def apply_outcomes(self, outcomes: Iterable[Outcome]) -> None:
        """Record outcomes at led endpoints; keep the others for their leaders."""
        leader = self._get_leader()
        if leader is None:
            return
        now = self._clock()
        for each in outcomes:
            endpoint = self._fleet.endpoints.get(each.endpoint)
            if endpoint is None:
                continue
            lease = self._get_lease(endpoint)
            if lease.leads:
                leader.endpoint_health.record(each, now)
            else:
                self._outcomes[lease.data_centre].add([each])

    def apply_demand(
        self, vm: str, data_centre: str, reported: list[WeightsDemand]
    ) -> None:
        """Record demand, also for the leaders whose engines will serve it."""
        leader = self._get_leader()
        if leader is None:
            return
        leader.apply_demand(vm, data_centre, reported)
        if data_centre not in self._leases or not self._leases[data_centre].leads:
            return
        for each in reported:
            if each.arrivals or each.sent:
                self._record_served_remotely(data_centre, each)

    def _record_served_remotely(self, data_centre: str, demand: WeightsDemand) -> None:
        now = self._clock()
        holders = self._fleet.list_holders(demand.service, demand.key, now)
        data_centres = {endpoint.data_centre for endpoint in holders}
        if data_centre in data_centres:
            return
        for name in data_centres & self._served_remotely.keys():
            served = self._served_remotely[name]
            before = served.get((demand.service, demand.key))
            served[(demand.service, demand.key)] = WeightsDemand(
                demand.service,
                demand.key,
                arrivals=demand.arrivals + (before.arrivals if before else 0),
                waiting=0,
                missed=0,
                sent=demand.sent + (before.sent if before else 0),
                sent_tokens=demand.sent_tokens + (before.sent_tokens if before else 0),
            )

    def record_refused(self, endpoint: EndpointId, key: WeightsKey) -> None:
        """Record a refusal, or keep it for the leader of the engine."""
        leader = self._get_leader()
        known = self._fleet.endpoints.get(endpoint)
        if known is None or leader is None:
            return
        if endpoint in leader.engines:
            leader.record_refused(endpoint, key)
        elif known.data_centre in self._refused:
            self._refused[known.data_centre].add((endpoint, key))

    # Reports to other leaders.

    def fill_report(
        self, report: Any, data_centre: str, handed_over: list[WeightsDemand]
    ) -> None:
        """Move the data kept for a data centre's leader into a report.

        ``handed_over`` is the demand that it is asked to serve for this group.
        """
        refused, self._refused[data_centre] = self._refused[data_centre], set()
        report.refused = [encode_use(e, key, 1) for e, key in refused]
        report.outcomes = encode_outcomes(self._outcomes[data_centre].pop())
        spendings = self._spendings[data_centre].pop(self._clock())
        report.spendings = [encode_spending(each) for each in spendings]
        demand = [*handed_over, *self._pop_served_remotely(data_centre)]
        report.demand = [encode_demand(each) for each in demand]

    def _pop_served_remotely(self, data_centre: str) -> list[WeightsDemand]:
        """Return the requests that a data centre's engines served for this group."""
        served = self._served_remotely[data_centre]
        self._served_remotely[data_centre] = {}
        return list(served.values())
