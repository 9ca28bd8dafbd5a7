"""Converts between the types of the tables and the structs of the feed."""

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from kestreltally.entry.demand import WeightsDemand
from kestreltally.entry.occupancy import Occupancy
from kestreltally.entry.outcomes import Outcome
from kestreltally.fleet.model import (
    Endpoint,
    EndpointId,
    KnownNotice,
    OrganisationName,
    Seconds,
    ServiceName,
    SoftwareVersion,
    WeightsKey,
)
from kestreltally.knowledge.structs import (
    ClearingRow,
    DemandRow,
    EndpointRow,
    NoticeRow,
    OutcomeRow,
    SightingRow,
    SpendingRow,
    TurnsRow,
    UseRow,
    WantedRow,
    WeightsChange,
    WeightsVersion,
    WordRow,
)
from kestreltally.poison.facts import Clearing, Fact, IncarnationName, Sighting
from kestreltally.poison.fingerprints import Digest, Fingerprint
from kestreltally.quotas.spending import Keeper, Spending, Throttle


def encode_weights(key: WeightsKey, version: int) -> Any:
    """Return the struct of a version of weights."""
    return WeightsVersion(model=key.model, adapter=key.adapter, version=version)


def decode_weights(row: Any) -> tuple[WeightsKey, int]:
    """Return the weights and the version of a struct."""
    return WeightsKey(row.model, row.adapter), row.version


def encode_endpoint(endpoint: Endpoint) -> Any:
    """Return the struct of an endpoint."""
    return EndpointRow(
        id=endpoint.id,
        service_name=endpoint.service,
        host=endpoint.host,
        port=endpoint.port,
        data_centre=endpoint.data_centre,
        slots=endpoint.slots,
        leaving=endpoint.leaving,
        weights=[encode_weights(k, v) for k, v in endpoint.weights.items()],
        loading=[encode_weights(k, 0) for k in endpoint.loading],
        spared=endpoint.quarantined,
        born=endpoint.start_time_ms,
        software=endpoint.software,
    )


def decode_endpoint(row: Any) -> Endpoint:
    """Return the endpoint of a struct."""
    return Endpoint(
        id=EndpointId(row.id),
        service=ServiceName(row.service_name),
        host=row.host,
        port=row.port,
        data_centre=row.data_centre,
        slots=row.slots,
        leaving=row.leaving,
        weights=dict(decode_weights(each) for each in row.weights or ()),
        loading=frozenset(decode_weights(each)[0] for each in row.loading or ()),
        quarantined=bool(row.spared),
        start_time_ms=row.born or 0,
        software=SoftwareVersion(row.software or ""),
    )


def encode_demand(demand: WeightsDemand) -> Any:
    """Return the struct of demand for weights."""
    return DemandRow(
        service_name=demand.service,
        model=demand.key.model,
        adapter=demand.key.adapter,
        arrivals=demand.arrivals,
        waiting=demand.waiting,
        missed=demand.missed,
        timely=demand.within_objective,
        prompt_tokens=demand.prompt_tokens,
        sent=demand.sent,
        sent_tokens=demand.sent_tokens,
    )


def decode_demand(row: Any) -> WeightsDemand:
    """Return the demand of a struct."""
    return WeightsDemand(
        service=ServiceName(row.service_name),
        key=WeightsKey(row.model, row.adapter),
        arrivals=row.arrivals,
        waiting=row.waiting,
        missed=row.missed,
        within_objective=row.timely or 0,
        prompt_tokens=row.prompt_tokens or 0,
        sent=row.sent or 0,
        sent_tokens=row.sent_tokens or 0,
    )


def encode_use(endpoint: EndpointId, key: WeightsKey, count: int) -> Any:
    """Return the struct of weights in use on an engine."""
    return UseRow(endpoint=endpoint, model=key.model, adapter=key.adapter, count=count)


def decode_use(row: Any) -> tuple[EndpointId, WeightsKey, int]:
    """Return an engine, weights on it, and the number of requests that use them."""
    return EndpointId(row.endpoint), WeightsKey(row.model, row.adapter), row.count


def encode_notice(notice: KnownNotice) -> Any:
    """Return the struct of an endpoint's notice."""
    return NoticeRow(
        endpoint=notice.endpoint,
        born=notice.start_time_ms,
        leaves=notice.leaves,
        rest=notice.backoff,
        limit=notice.limit,
        limit_version=notice.limit_version,
        turn_wait=notice.credit_wait,
        brittle=notice.brittle,
        brittle_version=notice.brittle_version,
    )


def decode_notice(row: Any) -> KnownNotice:
    """Return the notice of a struct."""
    return KnownNotice(
        endpoint=EndpointId(row.endpoint),
        start_time_ms=row.born or 0,
        leaves=bool(row.leaves),
        backoff=row.rest or 0.0,
        limit=row.limit,
        limit_version=row.limit_version or 0,
        credit_wait=row.turn_wait or 0.0,
        brittle=row.brittle,
        brittle_version=row.brittle_version or 0,
    )


def encode_occupancy(message: Any, occupancy: Occupancy) -> None:
    """Fill the occupancy of endpoints into a report or an update."""
    message.in_flight = dict(occupancy.in_flight)
    message.unread = dict(occupancy.unread)


def decode_occupancy(message: Any) -> Occupancy:
    """Return the occupancy of endpoints in a report or an update."""
    return Occupancy(
        in_flight={EndpointId(k): v for k, v in (message.in_flight or {}).items()},
        unread={EndpointId(k): v for k, v in (message.unread or {}).items()},
    )


def encode_outcomes(outcomes: Iterable[Outcome]) -> list[Any]:
    """Return the structs of request outcomes."""
    return [
        OutcomeRow(endpoint=each.endpoint, whole=each.completed, failed=each.failed)
        for each in outcomes
    ]


def decode_outcome(row: Any) -> Outcome:
    """Return the request outcomes of a struct."""
    return Outcome(EndpointId(row.endpoint), row.whole, row.failed)


def encode_change(before: Endpoint, after: Endpoint) -> Any:
    """Return the struct of a change of an engine's weights."""
    put = [
        encode_weights(key, version)
        for key, version in after.weights.items()
        if before.weights.get(key) != version
    ]
    dropped = [
        encode_weights(key, 0) for key in before.weights.keys() - after.weights.keys()
    ]
    return WeightsChange(
        id=after.id,
        put=put,
        dropped=dropped,
        loading=[encode_weights(key, 0) for key in after.loading],
    )


def apply_change(endpoint: Endpoint, change: Any) -> Endpoint:
    """Return an engine with a change of its weights applied."""
    weights = dict(endpoint.weights)
    for row in change.dropped or ():
        weights.pop(decode_weights(row)[0], None)
    weights.update(decode_weights(row) for row in change.put or ())
    loading = frozenset(decode_weights(row)[0] for row in change.loading or ())
    return replace(endpoint, weights=weights, loading=loading)


def differs_in_weights_only(before: Endpoint, after: Endpoint) -> bool:
    """Return whether two rows of an endpoint differ in their weights at most."""
    same = replace(before, weights=after.weights, loading=after.loading)
    return same == after


def encode_spending(spending: Spending) -> Any:
    """Return the struct of units that an organisation asked for and was granted."""
    return SpendingRow(
        organisation=spending.organisation,
        asked=spending.asked,
        granted=spending.granted,
    )


def decode_spending(row: Any) -> Spending:
    """Return the spending of a struct."""
    return Spending(OrganisationName(row.organisation), row.asked, row.granted)


def encode_throttle(throttle: Throttle) -> Any:
    """Return the struct of the throttle of an organisation at its limit."""
    keeper = throttle.keeper
    return WordRow(
        organisation=throttle.organisation,
        ratio=throttle.ratio,
        asked=throttle.asked,
        wait=throttle.wait,
        keeper_host=keeper.host if keeper is not None else None,
        keeper_port=keeper.port if keeper is not None else None,
    )


def decode_throttle(row: Any) -> Throttle:
    """Return the throttle of a struct."""
    keeper = Keeper(row.keeper_host, row.keeper_port) if row.keeper_host else None
    return Throttle(
        OrganisationName(row.organisation), row.ratio, row.asked, row.wait, keeper
    )


def encode_requested(
    endpoint: EndpointId, requested: dict[int, int], received: int
) -> Any:
    """Return the struct of credits requested at an endpoint, by urgency."""
    return WantedRow(endpoint=endpoint, counts=requested, received=received)


def encode_credits(endpoint: EndpointId, remaining_times: list[Seconds]) -> Any:
    """Return the struct of credits issued at an endpoint, by their remaining time."""
    return TurnsRow(endpoint=endpoint, lasts=remaining_times)


def encode_facts(message: Any, facts: Iterable[Fact], now: Seconds) -> None:
    """Fill poison facts into a report or an update."""
    message.sightings = []
    message.clearings = []
    for fact in facts:
        if isinstance(fact, Clearing):
            message.clearings.append(_encode_clearing(fact, now))
        else:
            message.sightings.append(_encode_sighting(fact, now))


def _encode_clearing(clearing: Clearing, now: Seconds) -> Any:
    return ClearingRow(
        digest=clearing.fingerprint.digest,
        outline=clearing.fingerprint.outline,
        ago=now - clearing.at,
        number=clearing.number,
    )


def _encode_sighting(sighting: Sighting, now: Seconds) -> Any:
    return SightingRow(
        digest=sighting.fingerprint.digest,
        outline=sighting.fingerprint.outline,
        life=sighting.incarnation,
        sent_ago=now - sighting.sent_at,
        ended_ago=now - sighting.ended_at,
        answered=sighting.answered,
        witness=sighting.witness,
        companions=list(sighting.companions) or None,
    )


def decode_facts(message: Any, now: Seconds) -> list[Fact]:
    """Return the poison facts of a report or an update."""
    facts: list[Fact] = [
        Sighting(
            fingerprint=Fingerprint(row.outline, Digest(row.digest)),
            incarnation=IncarnationName(row.life),
            sent_at=now - row.sent_ago,
            ended_at=now - row.ended_ago,
            answered=bool(row.answered),
            witness=row.witness,
            companions=tuple(Digest(each) for each in row.companions or ()),
        )
        for row in message.sightings or ()
    ]
    facts.extend(
        Clearing(
            Fingerprint(row.outline, Digest(row.digest)), now - row.ago, row.number
        )
        for row in message.clearings or ()
    )
    return facts
