"""HTTP API of a daemon for operators: health, metrics, live tables, time line."""

from collections.abc import Callable
from typing import Any, Final

import msgspec
from aiohttp import web

from kestreltally.entities.endpoints import Phase
from kestreltally.metrics import Metrics
from kestreltally.requests.flow import RequestServer
from kestreltally.runtime import Runtime
from kestreltally.systems.configuration import get_unconfirmed_time, is_watcher
from kestreltally.systems.granting import count_asks, count_occupied
from kestreltally.systems.leadership import can_act
from kestreltally.timeline.events import MATCHED_FIELDS, EventFilter
from kestreltally.world import World

Row = dict[str, Any]
RowLister = Callable[[World], list[Row]]
ROW_LISTERS: Final[dict[str, RowLister]] = {}


def row_lister(kind: str) -> Callable[[RowLister], RowLister]:
    """Register a function as the lister of the live table ``kind``."""

    def register(lister: RowLister) -> RowLister:
        ROW_LISTERS[kind] = lister
        return lister

    return register


@row_lister("members")
def list_members(world: World) -> list[Row]:
    """List the daemons that this daemon knows."""
    return [
        {
            "member": member.vm,
            "data_centre": member.data_centre,
            "state": member.state.name.lower(),
            "incarnation": member.incarnation,
            "answered_ago": round(world.now - member.acked_at, 3),
        }
        for member in world.members.known.values()
    ]


@row_lister("leaders")
def list_led_endpoints(world: World) -> list[Row]:
    """List the endpoints that this daemon leads."""
    return [
        {
            "endpoint": led.endpoint,
            "epoch": led.record.epoch,
            "phase": led.phase.value,
            "acts": can_act(world, led),
            "occupied": count_occupied(world, led.endpoint),
            "queued": count_asks(world, led.endpoint),
            "slots_used": len(led.slots),
            "leaving": led.leaving,
        }
        for led in world.leaders.led_endpoints.values()
    ]


@row_lister("slots")
def list_slots(world: World) -> list[Row]:
    """List the adapters in the slots of the endpoints that this daemon leads."""
    return [
        {
            "endpoint": led.endpoint,
            "adapter": str(slot.adapter),
            "closing": slot.closing,
            "idle_for": round(world.now - slot.used_at, 3),
        }
        for led in world.leaders.led_endpoints.values()
        for slot in led.slots.values()
    ]


@row_lister("queues")
def list_asks(world: World) -> list[Row]:
    """List the queued asks for permits at the endpoints that this daemon leads."""
    return [
        {
            "endpoint": ask.endpoint,
            "adapter": str(ask.adapter),
            "holder": ask.holder,
            "priority": ask.priority.name.lower(),
            "waiting_for": round(world.now - ask.arrived_at, 3),
        }
        for ask in world.grants.asks.values()
    ]


@row_lister("permits")
def list_permits(world: World) -> list[Row]:
    """List the permits that this daemon has granted."""
    return [
        {
            "permit": permit.permit,
            "endpoint": permit.endpoint,
            "adapter": str(permit.adapter),
            "holder": permit.holder,
            "state": permit.state.value,
            "places": permit.count_batch_slots(),
            "ends_in": round(permit.expires_at - world.now, 3),
        }
        for permit in world.grants.permits.values()
    ]


@row_lister("loads")
def list_loads(world: World) -> list[Row]:
    """List the adapter loads that this daemon has planned or in flight."""
    return [
        {
            "endpoint": load.endpoint,
            "adapter": str(load.adapter),
            "state": load.state.value,
            "since": round(world.now - load.since, 3),
        }
        for load in world.grants.loads.values()
    ]


@row_lister("breakers")
def list_breakers(world: World) -> list[Row]:
    """List the circuit breakers of this daemon that have recorded failures."""
    return [
        {
            "endpoint": endpoint,
            "failures": breaker.failures,
            "opens_again_in": round(max(0.0, breaker.open_until - world.now), 3),
        }
        for endpoint, breaker in world.entry.breakers.items()
    ]


@row_lister("daemons")
def list_daemon(world: World) -> list[Row]:
    """List one row: this daemon's revision, role and health."""
    return [
        {
            "data_centre": world.identity.data_centre,
            "revision": world.config.revision,
            "confirmed_ago": round(min(get_unconfirmed_time(world), 1e6), 3),
            "watches": is_watcher(world),
            "leads": len(world.leaders.led_endpoints),
            "suspended": sum(
                led.phase is Phase.SUSPENDED
                for led in world.leaders.led_endpoints.values()
            ),
            "leaving": world.members.leaving,
            "invariants_broken": sum(world.invariants.violations.values()),
        }
    ]


class OperatorApi:
    """HTTP handlers of one daemon for operators."""

    def __init__(
        self,
        runtime: Runtime,
        server: RequestServer,
        metrics: Metrics,
    ) -> None:
        self._runtime = runtime
        self._server = server
        self._metrics = metrics
        self.ready = True

    def make_app(self) -> web.Application:
        """Create the application with its routes."""
        app = web.Application()
        app.router.add_get("/live", self.show_liveness)
        app.router.add_get("/ready", self.show_readiness)
        app.router.add_get("/metrics", self.show_metrics)
        app.router.add_get("/state/{kind}", self.show_state)
        app.router.add_get("/timeline", self.show_timeline)
        return app

    async def show_liveness(self, http: web.Request) -> web.Response:
        """Report that the event loop is running."""
        return web.json_response({"live": True})

    async def show_readiness(self, http: web.Request) -> web.Response:
        """Report to the load balancer whether this daemon accepts requests.

        The status is 503 before the first configuration and when ``ready`` is False.
        """
        has_config = self._runtime.world.config.revision > 0
        ready = self.ready and has_config
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    async def show_metrics(self, http: web.Request) -> web.Response:
        """Return the metrics of this daemon in the exposition format."""
        content, headers = self._metrics.render(self._runtime.world)
        return web.Response(body=content, headers=headers)

    async def show_state(self, http: web.Request) -> web.Response:
        """Return the rows of one live table, each with this daemon's VM."""
        kind = http.match_info["kind"]
        world = self._runtime.world
        if kind == "requests":
            rows = self._list_requests()
        elif kind in ROW_LISTERS:
            rows = ROW_LISTERS[kind](world)
        else:
            known = ", ".join(sorted([*ROW_LISTERS, "requests"]))
            text = f"no table {kind!r}; known tables: {known}"
            return web.json_response({"error": text}, status=404)
        named = [{"vm": world.identity.vm, **row} for row in rows]
        return web.json_response({"rows": named})

    def _list_requests(self) -> list[Row]:
        now = self._runtime.clock()
        return [
            {
                "request": record.request,
                "caller": record.caller,
                "adapter": str(record.adapter),
                "priority": record.priority.name.lower(),
                "stage": record.stage.value,
                "endpoint": record.endpoint,
                "attempts": record.attempts,
                "since": round(now - record.since, 3),
            }
            for record in self._server.live.values()
        ]

    async def show_timeline(self, http: web.Request) -> web.Response:
        """Return the retained events that match the filter in the query string."""
        event_filter = EventFilter(
            **{name: http.query.get(name, "") for name in MATCHED_FIELDS}
        )
        events = self._runtime.world.events.select(event_filter)
        return web.Response(
            body=msgspec.json.encode({"events": events}),
            content_type="application/json",
        )
