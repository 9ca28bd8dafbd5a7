"""Configuration: propagation time, start from peers during an outage, recovery."""

from kestreltally.entities.configuration import Adapter
from tests.fleet import MODEL, Fleet, run_virtual


async def change(fault: str) -> tuple[Fleet, float]:
    """Change the configuration; return the time until it is in force everywhere."""
    fleet = Fleet(daemons=6)
    await fleet.start()
    await fleet.settle(4.0)
    if fault == "messages lost":
        fleet.faults.drop = 0.3
    elif fault == "watchers cut from store":
        fleet.faults.store_cut |= {"vm-0", "vm-1"}
    elif fault == "answers slow":
        fleet.faults.slow = 0.2
    revision = await fleet.put_config(Adapter("new", MODEL), "adapter", "new")
    waited = 0.0
    while waited < 20.0:
        revisions = [node.runtime.world.config.revision for node in fleet.nodes]
        if min(revisions) >= revision:
            break
        await fleet.settle(0.05)
        waited += 0.05
    await fleet.close()
    return fleet, waited


def test_a_change_is_in_force_everywhere_at_once() -> None:
    fleet, waited = run_virtual(change(""))
    assert waited < 0.5 and fleet.list_problems() == []


def test_a_change_is_in_force_within_four_seconds_when_messages_are_lost() -> None:
    fleet, waited = run_virtual(change("messages lost"))
    assert waited < 4.0 and fleet.list_problems() == []


def test_a_change_is_in_force_within_four_seconds_when_answers_are_slow() -> None:
    fleet, waited = run_virtual(change("answers slow"))
    assert waited < 4.0 and fleet.list_problems() == []


def test_a_change_is_in_force_within_four_seconds_past_cut_off_watchers() -> None:
    fleet, waited = run_virtual(change("watchers cut from store"))
    assert waited < 4.0 and fleet.list_problems() == []


async def start_in_an_outage() -> tuple[Fleet, bool]:
    fleet = Fleet()
    await fleet.start()
    await fleet.settle(4.0)
    fleet.faults.store_down = True
    await fleet.settle(1.0)
    await fleet.replace(2)
    await fleet.settle(4.0)
    served = fleet.send(2, "a1")
    refused = fleet.send(2, "a1", repeatable=False)
    await fleet.settle(6.0)
    await fleet.close()
    has_retry_after = refused.refusal is not None and refused.refusal.retry_after > 0
    return fleet, served.done and has_retry_after


def test_a_daemon_started_in_an_outage_serves_its_peers_configuration() -> None:
    fleet, served = run_virtual(start_in_an_outage())
    assert served and fleet.list_problems() == []


async def survive_an_outage() -> tuple[Fleet, int, int]:
    """Stop the object API for ten minutes, then restore it for all daemons."""
    fleet = Fleet(daemons=6)
    await fleet.start()
    await fleet.settle(4.0)
    fleet.faults.store_down = True
    await fleet.settle(600.0)
    served = [fleet.send(number, "a1") for number in range(6)]
    await fleet.settle(5.0)
    fleet.faults.store_down = False
    fleet.store.calls.clear()
    await fleet.settle(5.0)
    calls = fleet.store.calls["reads"] + fleet.store.calls["writes"]
    await fleet.close()
    return fleet, sum(sent.done for sent in served), calls


def test_a_restored_object_api_gets_few_calls() -> None:
    fleet, done, calls = run_virtual(survive_an_outage())
    assert done == 6 and fleet.list_problems() == []
    assert calls < 6 * 2 * 5
