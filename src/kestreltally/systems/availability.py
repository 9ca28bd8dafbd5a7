"""Availability of endpoints for new work: circuit breakers, leaving, failures."""

from collections.abc import Iterable
from dataclasses import replace
from typing import Final

from kestreltally.entities.configuration import EndpointKind
from kestreltally.entities.endpoints import Breaker
from kestreltally.entities.ids import (
    NEVER,
    SERVICE,
    AdapterVersion,
    EndpointId,
    Seconds,
    VmId,
)
from kestreltally.orders import EndpointFailed, EndpointServed
from kestreltally.peers.messages import EndpointFault
from kestreltally.systems.granting import LEAVING
from kestreltally.systems.leadership import find_leader
from kestreltally.systems.membership import is_listed_leaving
from kestreltally.systems.registry import handles_event
from kestreltally.world import World

PART: Final = "entry"
SERVICE_TIME_WEIGHT: Final = 0.1
LEAVING_DURATION: Final[Seconds] = 5.0


def is_available(world: World, endpoint: EndpointId) -> bool:
    """Return whether an endpoint can get new work, according to local state."""
    spec = world.config.endpoints.get(endpoint)
    if spec is None or spec.draining:
        return False
    if spec.vm and is_listed_leaving(world, VmId(spec.vm)):
        return False
    if world.now < world.entry.leaving.get(endpoint, NEVER):
        return False
    breaker = world.entry.breakers.get(endpoint, Breaker())
    if breaker.failures < world.settings.limits.breaker_failures:
        return True
    return world.now >= breaker.open_until and not breaker.probing


def start_probe(world: World, endpoint: EndpointId) -> None:
    """Let a single request probe an endpoint whose breaker is half-open."""
    breaker = world.entry.breakers.get(endpoint)
    if breaker is None:
        return
    if breaker.failures >= world.settings.limits.breaker_failures:
        world.entry.breakers[endpoint] = replace(breaker, probing=True)


def end_probe(world: World, endpoint: EndpointId) -> None:
    """Allow another probe, whatever the outcome of the last one.

    A probe that was refused before it ran, or whose caller disconnected, reports
    neither success nor failure; without this the breaker would stay open forever.
    """
    breaker = world.entry.breakers.get(endpoint)
    if breaker is not None and breaker.probing:
        world.entry.breakers[endpoint] = replace(breaker, probing=False)


@handles_event(EndpointServed)
def record_success(world: World, served: EndpointServed) -> None:
    """Close the breaker of an endpoint that served; update its service time."""
    world.entry.breakers.pop(served.endpoint, None)
    led = world.leaders.led_endpoints.get(served.endpoint)
    if led is not None:
        service_time = led.service_time + SERVICE_TIME_WEIGHT * (
            served.took - led.service_time
        )
        world.update_led_endpoint(led, service_time=service_time)


def _retire_permits(world: World, failed: EndpointFailed) -> None:
    """Return the permits and clear the view that a failure has invalidated."""
    for held in list(world.entry.held.values()):
        same = held.endpoint == failed.endpoint and held.adapter == failed.adapter
        if same and not held.returned:
            world.entry.held[held.permit] = replace(
                held, returned=True, reported_at=NEVER
            )
    view = world.entry.views.get(failed.endpoint)
    if view is not None:
        loaded = view.loaded - {failed.adapter}
        world.entry.views[failed.endpoint] = replace(view, loaded=loaded)


@handles_event(EndpointFailed)
def record_failure(world: World, failed: EndpointFailed) -> None:
    """Count a failure for the breaker, and report the fault to the leader."""
    limits = world.settings.limits
    if failed.counts:
        breaker = world.entry.breakers.get(failed.endpoint, Breaker())
        failures = breaker.failures + 1
        world.entry.breakers[failed.endpoint] = Breaker(
            failures=failures,
            open_until=world.now + limits.breaker_open,
        )
        if failures == limits.breaker_failures:
            world.events.add(
                PART,
                "opens the circuit breaker",
                endpoint=failed.endpoint,
                reason=failed.fault,
            )
    _retire_permits(world, failed)
    if failed.fault == LEAVING:
        world.entry.leaving[failed.endpoint] = world.now + LEAVING_DURATION
    leader = find_leader(world, failed.endpoint)
    if leader is not None:
        fault = EndpointFault(
            endpoint=failed.endpoint,
            adapter=failed.adapter.adapter,
            version=failed.adapter.version,
            fault=failed.fault,
        )
        world.send(leader, fault)


def list_candidates(
    world: World,
    model: str,
    adapter: AdapterVersion,
) -> tuple[EndpointId, ...]:
    """Return the endpoints that run a base model and can serve one of its adapters."""
    found: Iterable[EndpointId] = world.config.endpoints_of_model.get(model, {})
    if adapter == SERVICE:
        return tuple(found)
    return tuple(
        endpoint
        for endpoint in found
        if world.config.endpoints[endpoint].kind is EndpointKind.ENGINE
    )
