"""Leadership during lasting network partitions, and timely take-over."""

from tests.fleet import Fleet, run_virtual


async def isolate_one(seconds: float) -> tuple[Fleet, int, int, int]:
    """Isolate one daemon from all others, but not from the object API or endpoints."""
    fleet = Fleet()
    await fleet.start()
    await fleet.settle(4.0)
    for number in (0, 2, 3):
        fleet.faults.cut |= {("vm-1", f"vm-{number}"), (f"vm-{number}", "vm-1")}
    before = count_epochs(fleet)
    await fleet.settle(8.0)
    first = len(fleet.sent)
    for number in range(int(seconds)):
        for target in (0, 2, 3):
            fleet.send(target, f"a{number % 3}", deadline=8.0)
        await fleet.settle(1.0)
    changes = count_epochs(fleet) - before
    await fleet.settle(10.0)
    done = sum(sent.done for sent in fleet.sent[first:])
    await fleet.close()
    return fleet, changes, done, len(fleet.sent) - first


def count_epochs(fleet: Fleet) -> int:
    return sum(
        stored.value["epoch"]
        for key, stored in fleet.store.objects.items()
        if key.startswith("leader/")
    )


def test_a_cut_off_daemon_does_not_keep_taking_endpoints() -> None:
    fleet, changes, done, sent = run_virtual(isolate_one(60.0))
    assert fleet.list_problems() == []
    assert changes <= 16
    assert done >= 0.97 * sent


async def kill_leader() -> tuple[Fleet, float]:
    """Kill a leader; return the time until its endpoints have another leader."""
    fleet = Fleet()
    await fleet.start()
    await fleet.settle(5.0)
    victim = next(
        node for node in fleet.nodes if node.runtime.world.leaders.led_endpoints
    )
    endpoints = set(victim.runtime.world.leaders.led_endpoints)
    await victim.kill()
    waited = 0.0
    while waited < 20.0:
        led = {
            endpoint
            for node in fleet.nodes
            if node.is_up
            for endpoint in node.runtime.world.leaders.led_endpoints
        }
        if endpoints <= led:
            break
        await fleet.settle(0.1)
        waited += 0.1
    await fleet.close()
    return fleet, waited


def test_a_killed_leader_is_followed_within_four_seconds() -> None:
    fleet, waited = run_virtual(kill_leader())
    assert fleet.list_problems() == []
    assert 1.0 < waited < 4.0


async def replace_all_at_once() -> Fleet:
    """Kill every daemon under load and replace them by daemons without state."""
    fleet = Fleet()
    await fleet.start()
    await fleet.settle(4.0)
    for number in range(20):
        fleet.send(number % 4, f"a{number % 6}")
        await fleet.settle(0.05)
    for number in range(4):
        await fleet.nodes[number].kill()
    await fleet.settle(0.5)
    for number in range(4):
        fleet.start_node(number)
    await fleet.settle(3.0)
    for number in range(20):
        fleet.send(number % 4, f"a{number % 6}")
        await fleet.settle(0.05)
    await fleet.settle(20.0)
    await fleet.close()
    return fleet


def test_empty_daemons_in_all_places_serve_again() -> None:
    fleet = run_virtual(replace_all_at_once())
    assert fleet.list_problems() == []
    assert all(sent.done for sent in fleet.sent[20:])
