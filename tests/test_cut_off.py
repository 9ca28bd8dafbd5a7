"""Daemons that reach no endpoint, while clients, the store and other daemons do.

Guards against requests that end there although other daemons could serve them, leaders
that lead engines out of their reach, and belief in what such daemons say of engines.
"""

import asyncio

import pytest

from bench.faultsoak.cuts import CutMode
from tests.recoverrig import CONTACT_TIME, RecoverRig, Served, run_recover_rig

HANG, RESET, REFUSE = CutMode.HANG, CutMode.RESET, CutMode.REFUSE
# Daemons that are cut off must serve this part of what the others do, unless only few
# of all first tries fail there.
MIN_RELATIVE_SERVED = 2 / 3
MAX_FAILED_COUNT = 10
MAX_FAILED_FRACTION = 1 / 50
# Noticing a cut, taking the lease, the gap between two holders' orders, and a load.
TAKEOVER_TIME = 6.0
# The others serve this part of their first tries, whoever is cut off.
MIN_OTHERS_SERVED = 0.9


def pick_followers(rig: RecoverRig) -> set[str]:
    leaders = rig.find_leaders()
    return set([vm for vm in rig.daemons if vm not in leaders][:3])


def pick_leaders(rig: RecoverRig) -> set[str]:
    return set(rig.find_leaders())


def pick_all_but_one_a_data_centre(rig: RecoverRig) -> set[str]:
    spared = {vm.partition("-")[0]: vm for vm in rig.daemons}
    return rig.daemons.keys() - set(spared.values())


def pick_data_centre(rig: RecoverRig) -> set[str]:
    return {vm for vm in rig.daemons if vm.startswith("north")}


def is_allowed(cut: Served, others: Served) -> bool:
    failed = cut.tries - cut.served
    allowed = MAX_FAILED_COUNT + MAX_FAILED_FRACTION * (cut.tries + others.tries)
    return failed <= allowed or (cut.fraction >= MIN_RELATIVE_SERVED * others.fraction)


@pytest.mark.parametrize(
    ("pick", "mode"),
    [
        (pick_followers, HANG),
        (pick_followers, RESET),
        (pick_leaders, HANG),
        (pick_leaders, REFUSE),
        (pick_all_but_one_a_data_centre, HANG),
        (pick_data_centre, RESET),
    ],
)
async def test_daemons_cut_off_from_all_endpoints_serve_like_the_others(
    pick: object, mode: CutMode
) -> None:
    async with run_recover_rig() as rig:
        vms = pick(rig)  # type: ignore[operator]
        cut, others = await rig.measure_cut(vms, mode)
    print(f"cut {cut}, others {others}")
    assert is_allowed(cut, others), (cut, others)
    assert others.fraction >= MIN_OTHERS_SERVED, (cut, others)


@pytest.mark.parametrize("mode", [HANG, RESET])
async def test_leader_that_reaches_no_endpoint_leaves_its_lease_to_another(
    mode: CutMode,
) -> None:
    async with run_recover_rig() as rig:
        before = pick_leaders(rig)
        for vm in before:
            rig.paths[vm].cut(mode)
        await asyncio.sleep(TAKEOVER_TIME)
        after = pick_leaders(rig)
        served = await rig.ask("north-4", "/m/x", "a90", "late")
    assert len(after) == len(before)
    assert not after & before
    assert served.status == 200


async def test_leaders_keep_their_leases_if_no_daemon_reaches_an_endpoint() -> None:
    async with run_recover_rig() as rig:
        before = pick_leaders(rig)
        for paths in rig.paths.values():
            paths.cut(HANG)
        await asyncio.sleep(TAKEOVER_TIME)
        assert pick_leaders(rig) == before


@pytest.mark.parametrize("mode", [RESET, REFUSE])
async def test_daemons_cut_off_do_not_blame_requests_for_ends_of_engines(
    mode: CutMode,
) -> None:
    async with run_recover_rig() as rig:
        for vm in pick_followers(rig):
            rig.paths[vm].cut(mode)
        await asyncio.sleep(CONTACT_TIME)
        registers = [each._relay.poison.register for each in rig.daemons.values()]
        suspects = [register.list_suspects() for register in registers]
    assert not any(suspects)


async def test_daemons_cut_off_do_not_have_engines_quarantined() -> None:
    async with run_recover_rig() as rig:
        for vm in pick_followers(rig):
            rig.paths[vm].cut(RESET)
        until = asyncio.get_running_loop().time() + CONTACT_TIME
        quarantined = set()
        while asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.02)
            for daemon in rig.daemons.values():
                rows = daemon._fleet.endpoints.values()
                quarantined.update(each.id for each in rows if each.quarantined)
    assert not quarantined
