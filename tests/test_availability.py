"""The circuit breaker opens, allows one probe at a time, and never stays open."""

from bench.slopes import ADAPTER, add_config, make_test_world
from kestreltally.entities.endpoints import Breaker
from kestreltally.entities.ids import AttemptId, EndpointId, PermitId, VmId
from kestreltally.entities.permits import HeldPermit
from kestreltally.orders import EndpointFailed, EndpointServed, PermitUsed, UseEnd
from kestreltally.systems.availability import is_available, start_probe
from kestreltally.systems.registry import run_step
from kestreltally.world import World

ENGINE = EndpointId("engine-0")
PERMIT = PermitId("p")


def make_world(failures: int) -> World:
    world = make_test_world()
    add_config(world, 1, 1)
    for _ in range(failures):
        world.inbox.append(EndpointFailed(ENGINE, ADAPTER, "answer_lost", counts=True))
    run_step(world, world.now)
    return world


def test_failures_open_the_breaker_and_time_half_opens_it() -> None:
    world = make_world(failures=2)
    assert is_available(world, ENGINE)
    world = make_world(failures=3)
    assert not is_available(world, ENGINE)
    world.now += world.settings.limits.breaker_open
    assert is_available(world, ENGINE)
    start_probe(world, ENGINE)
    assert not is_available(world, ENGINE)


def test_a_success_closes_the_breaker() -> None:
    world = make_world(failures=3)
    world.inbox.append(EndpointServed(ENGINE, took=0.1))
    run_step(world, world.now)
    assert is_available(world, ENGINE)


def test_an_inconclusive_probe_allows_the_next() -> None:
    """A probe may be refused before it runs, or its caller may disconnect."""
    world = make_world(failures=3)
    world.now += world.settings.limits.breaker_open
    start_probe(world, ENGINE)
    world.entry.held[PERMIT] = HeldPermit(
        permit=PERMIT,
        endpoint=ENGINE,
        adapter=ADAPTER,
        leader=VmId("vm-1"),
        epoch=1,
        count=1,
        expires_at=world.now + 1.0,
        running=1,
    )
    world.inbox.append(PermitUsed(PERMIT, AttemptId("a"), UseEnd.UNSURE))
    run_step(world, world.now)
    assert world.entry.breakers[ENGINE] == Breaker(
        failures=3, open_until=world.entry.breakers[ENGINE].open_until
    )
    assert is_available(world, ENGINE)
