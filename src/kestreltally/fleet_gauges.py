"""The values of a daemon's gauges, by component; docs/OPERATIONS.md lists them."""

from collections.abc import Mapping

from kestreltally.entry.api import EntryApi
from kestreltally.entry.relay import Relay
from kestreltally.entry.upstream import ChannelPool
from kestreltally.fleet.model import Seconds
from kestreltally.fleet.tables import Fleet
from kestreltally.fleet_metrics import GaugeValues
from kestreltally.knowledge.authority import Authority
from kestreltally.knowledge.endpoints_age import EndpointsAge
from kestreltally.knowledge.exchange import Exchange
from kestreltally.knowledge.quota_asking import QuotaAsking
from kestreltally.knowledge.watching import KindWatch
from kestreltally.placing.leader import Leader
from kestreltally.placing.lease import Lease
from kestreltally.reach.contact import Contact, Reach


def measure_requests(
    entry_api: EntryApi, relay: Relay, fleet: Fleet, now: Seconds
) -> GaugeValues:
    """Return the gauges of requests and of what is held for them."""
    configuration = fleet.configuration
    services = configuration.services if configuration else {}
    in_flight = relay.health.measure(now).in_flight
    return {
        "requests_live": {"entry": entry_api.active_requests},
        "requests_in_flight": {str(k): float(v) for k, v in in_flight.items()},
        "retries_left": {
            name: relay.budget.compute_remaining(name, now) for name in services
        },
        "held_bytes": entry_api.holdings.describe(),
        "held_ended": entry_api.holdings.counts.describe(),
        "ingress_connections": entry_api.ingress.measure_connections(),
        "ingress_bytes": entry_api.ingress.measure_bytes(),
        "poison_requests": relay.poison.register.count(),
        "poison_parts": relay.poison.register.parts.count(),
        "streams_known": {"register": len(relay.resumption.register)},
        "streams_taken_up": dict(relay.resumption.counts),
        "undelimited_answers": dict(relay.delivery.end_check.counts),
    }


def measure_channels(pool: ChannelPool, control_pool: ChannelPool) -> GaugeValues:
    """Return the gauges of channels to endpoints."""
    return {
        "channels_opened": {"endpoints": pool.opened},
        "channels_open": {"all": pool.open_count, "idle": pool.idle_count},
        "channels_reused": {"endpoints": max(0, pool.used - pool.opened)},
        "channel_waits": {"endpoints": pool.waits},
        "endpoint_sends": {
            "requests": pool.used,
            "orders_and_reports": control_pool.used,
        },
    }


def measure_leading(leader: Leader, leases: Mapping[str, Lease]) -> GaugeValues:
    """Return the gauges of leases, and of loads as a leader."""
    return {
        "leases_held": {name: float(lease.leads) for name, lease in leases.items()},
        "adapters_missing": {"leader": leader.missing},
        "loads_ahead": {"leader": leader.loads_ahead},
        "loads_ended": leader.count_loads(),
        "load_seconds": {"leader": leader.load_time},
    }


def measure_knowledge(
    fleet: Fleet,
    watches: Mapping[str, KindWatch],
    authority: Authority,
    endpoints_age: EndpointsAge,
    contact: Contact,
    daemon_count: int,
    now: Seconds,
) -> GaugeValues:
    """Return the gauges of what is known of the fleet, and how old it is."""
    configuration = fleet.configuration
    return {
        "configuration_version": {
            "store": configuration.version if configuration else 0
        },
        "watch_age_seconds": {
            kind: watch.compute_age() for kind, watch in watches.items()
        },
        "configuration_age_seconds": {"authority": authority.compute_age()},
        "endpoints_age_seconds": {"proof": endpoints_age.compute_age()},
        "reach": {each.value: each is contact.reach for each in Reach},
        "unread_words": fleet.notices.unknown_signals.count(),
        "endpoints_by_word": fleet.notices.count(now),
        "daemons_known": {"feed": daemon_count},
    }


def measure_exchange(
    exchange: Exchange, asking: QuotaAsking | None, now: Seconds
) -> GaugeValues:
    """Return the gauges of quotas and of engines that differ."""
    keeping = exchange.quota_keeping
    return {
        "quota_used": exchange.ledger.measure(now),
        "quota_reserved": keeping.orders.measure() if keeping is not None else {},
        "quota_questions": dict(asking.counts) if asking is not None else {},
        **(exchange.speeds.measure() if exchange.speeds is not None else {}),
    }
