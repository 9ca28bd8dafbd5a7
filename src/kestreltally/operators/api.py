"""The operators' HTTP surface of a daemon: health, metrics, tables, time line."""

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
    """Register what lists the rows of a live table under its name."""

    def register(lister: RowLister) -> RowLister:
        ROW_LISTERS[kind] = lister
        return lister

    return register


@row_lister("members")
def list_members(world: World) -> list[Row]:
    """List the daemons known here."""
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
    """List the endpoints led here."""
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
        for led in world.leaders.led.values()
    ]


@row_lister("slots")
def list_slots(world: World) -> list[Row]:
    """List the adapters held by the endpoints led here."""
    return [
        {
            "endpoint": led.endpoint,
            "adapter": str(slot.adapter),
            "closing": slot.closing,
            "idle_for": round(world.now - slot.used_at, 3),
        }
        for led in world.leaders.led.values()
        for slot in led.slots.values()
    ]


@row_lister("queues")
def list_asks(world: World) -> list[Row]:
    """List the asks that wait at the endpoints led here."""
    return [
        {
            "endpoint": ask.endpoint,
            "adapter": str(ask.adapter),
            "holder": ask.holder,
            "priority": ask.priority.name.lower(),
            "waiting_for": round(world.now - ask.arrived_at, 3),
        }
        for ask in world.book.asks.values()
    ]


@row_lister("permits")
def list_permits(world: World) -> list[Row]:
    """List the permits granted here."""
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
        for permit in world.book.permits.values()
    ]


@row_lister("loads")
def list_loads(world: World) -> list[Row]:
    """List the loads planned or under way here."""
    return [
        {
            "endpoint": load.endpoint,
            "adapter": str(load.adapter),
            "state": load.state.value,
            "since": round(world.now - load.since, 3),
        }
        for load in world.book.loads.values()
    ]


@row_lister("breakers")
def list_breakers(world: World) -> list[Row]:
    """List the circuit breakers that have counted failures here."""
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
    """List this daemon: its revision and how it stands."""
    return [
        {
            "data_centre": world.identity.data_centre,
            "revision": world.config.revision,
            "confirmed_ago": round(min(get_unconfirmed_time(world), 1e6), 3),
            "watches": is_watcher(world),
            "leads": len(world.leaders.led),
            "suspended": sum(
                led.phase is Phase.SUSPENDED for led in world.leaders.led.values()
            ),
            "leaving": world.members.leaving,
            "invariants_broken": sum(world.invariants.broken.values()),
        }
    ]


class OperatorApi:
    """The handlers of the operators' side of one daemon."""

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
        """Return the application with its routes."""
        app = web.Application()
        app.router.add_get("/live", self.show_liveness)
        app.router.add_get("/ready", self.show_readiness)
        app.router.add_get("/metrics", self.show_metrics)
        app.router.add_get("/state/{kind}", self.show_state)
        app.router.add_get("/timeline", self.show_timeline)
        return app

    async def show_liveness(self, http: web.Request) -> web.Response:
        """Answer that the process runs its loop."""
        return web.json_response({"live": True})

    async def show_readiness(self, http: web.Request) -> web.Response:
        """Tell the balancer whether to send requests here."""
        has_config = self._runtime.world.config.revision > 0
        ready = self.ready and has_config
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    async def show_metrics(self, http: web.Request) -> web.Response:
        """Show the metrics."""
        content, headers = self._metrics.render(self._runtime.world)
        return web.Response(body=content, headers=headers)

    async def show_state(self, http: web.Request) -> web.Response:
        """Show the rows of one live table, each with this daemon's name."""
        kind = http.match_info["kind"]
        world = self._runtime.world
        if kind == "requests":
            rows = self._list_requests()
        elif kind in ROW_LISTERS:
            rows = ROW_LISTERS[kind](world)
        else:
            known = ", ".join(sorted([*ROW_LISTERS, "requests"]))
            text = f"no table {kind!r}; there are: {known}"
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
        """Show the kept events that pass the filter in the query."""
        event_filter = EventFilter(
            **{name: http.query.get(name, "") for name in MATCHED_FIELDS}
        )
        events = self._runtime.world.events.select(event_filter)
        return web.Response(
            body=msgspec.json.encode({"events": events}),
            content_type="application/json",
        )
