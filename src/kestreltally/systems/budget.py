"""The load budget of the weight store: one daemon grants loads.

Exceeding the budget only slows loads down, so this duty is not protected by a lease:
two daemons may perform it for a moment while their views of the membership differ.
"""

from dataclasses import replace
from typing import Final

from kestreltally.entities.ids import Seconds, VmId
from kestreltally.entities.permits import BudgetAsk
from kestreltally.peers.messages import AskLoad, EndLoad, GrantLoad
from kestreltally.systems.hashing import choose_owner
from kestreltally.systems.membership import list_eligible
from kestreltally.systems.registry import handles_message, runs_each_tick
from kestreltally.world import World

BUDGET_DUTY: Final = "load-budget"
ASK_TTL: Final[Seconds] = 3.0
GRANT_TTL: Final[Seconds] = 20.0


def find_budget_leader(world: World) -> VmId | None:
    """Return the daemon that grants loads, according to local membership."""
    owner = choose_owner(BUDGET_DUTY, list_eligible(world))
    return VmId(owner) if owner is not None else None


@handles_message(AskLoad)
def receive_load_ask(world: World, sender: VmId, asked: AskLoad) -> None:
    """Queue a load; repeat the grant of one that was granted already."""
    known = world.budget.asks.get(asked.load)
    if known is not None and known.granted_at is not None:
        world.send(sender, GrantLoad(load=asked.load))
        return
    world.budget.asks[asked.load] = BudgetAsk(
        load=asked.load,
        holder=sender,
        urgency=asked.urgency,
        refreshed_at=world.now,
    )


@handles_message(EndLoad)
def end_load(world: World, sender: VmId, ended: EndLoad) -> None:
    """Release the budget of a load that has ended."""
    world.budget.asks.pop(ended.load, None)


def _refill_tokens(world: World) -> None:
    placement = world.settings.placement
    gained = (world.now - world.budget.refilled_at) * placement.loads_per_second
    capacity = max(1.0, float(placement.loads_at_once))
    world.budget.tokens = min(capacity, world.budget.tokens + gained)
    world.budget.refilled_at = world.now


@runs_each_tick(80, on_wake=True)
def grant_loads(world: World) -> None:
    """Grant loads within the rate and concurrency limits, most urgent first."""
    if not world.budget.asks:
        return
    _refill_tokens(world)
    _prune_stale(world)
    asks = world.budget.asks
    running = sum(1 for ask in asks.values() if ask.granted_at is not None)
    waiting = [ask for ask in asks.values() if ask.granted_at is None]
    waiting.sort(key=lambda ask: (-ask.urgency, ask.load))
    for ask in waiting:
        full = running >= world.settings.placement.loads_at_once
        if full or world.budget.tokens < 1.0:
            break
        world.budget.tokens -= 1.0
        running += 1
        asks[ask.load] = replace(ask, granted_at=world.now)
        world.send(ask.holder, GrantLoad(load=ask.load))


def _prune_stale(world: World) -> None:
    for ask in list(world.budget.asks.values()):
        if ask.granted_at is not None:
            if world.now - ask.granted_at > GRANT_TTL:
                del world.budget.asks[ask.load]
        elif world.now - ask.refreshed_at > ASK_TTL:
            del world.budget.asks[ask.load]
