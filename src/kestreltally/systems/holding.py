"""The entry daemon's side of permits: requesting, holding, using and returning them."""

from dataclasses import replace
from typing import Final

from kestreltally.entities.configuration import EndpointKind
from kestreltally.entities.endpoints import EndpointView
from kestreltally.entities.ids import (
    NEVER,
    AdapterVersion,
    AskId,
    EndpointId,
    PermitId,
    Seconds,
    VmId,
    parse_adapter_version,
)
from kestreltally.entities.permits import HeldPermit, Waiter
from kestreltally.invariants import declare_invariant
from kestreltally.orders import (
    PermitUsed,
    RefusalReason,
    UseEnd,
    WaiterAdded,
    WaiterDropped,
    WaiterGranted,
    WaiterRefused,
)
from kestreltally.peers.messages import (
    AskPermit,
    AskQueued,
    GrantPermit,
    PermitClosed,
    RefusePermit,
    ReturnPermit,
    View,
    WithdrawAsk,
)
from kestreltally.policies.registry import CHOOSERS, Candidate
from kestreltally.systems.availability import (
    LEAVING_DURATION,
    end_probe,
    is_available,
    start_probe,
)
from kestreltally.systems.granting import LEAVING, NOT_LEADER
from kestreltally.systems.hashing import rank_owners
from kestreltally.systems.leadership import find_leader
from kestreltally.systems.membership import is_reachable
from kestreltally.systems.registry import handles_event, handles_message, runs_each_tick
from kestreltally.world import World

PART: Final = "entry"
SILENT_LEADER_BACKOFF: Final[Seconds] = 1.0
MAX_UNANSWERED_REFRESHES: Final = 2
RETURNED_RETENTION: Final[Seconds] = 30.0
RETURN_RETRY_INTERVAL: Final[Seconds] = 1.0
REFUSAL_RETRY_DELAY: Final[Seconds] = 1.0
VIEW_TTL: Final[Seconds] = 10.0
MAX_HINTS: Final = 2

USE_ONLY_VALID_PERMITS = declare_invariant(
    "use-only-valid-permits",
    promise="an adapter in use is never unloaded",
    owner="systems/holding.py",
)


@handles_event(WaiterAdded)
def add_want(world: World, added: WaiterAdded) -> None:
    """Add a waiting request."""
    world.entry.waiters[added.waiter.waiter] = added.waiter


@handles_event(WaiterDropped)
def drop_want(world: World, dropped: WaiterDropped) -> None:
    """Remove a request that no longer waits, and withdraw its ask."""
    waiter = world.entry.waiters.pop(dropped.waiter, None)
    if waiter is not None:
        _withdraw(world, waiter)


def _withdraw(world: World, waiter: Waiter) -> None:
    if waiter.ask is None or waiter.endpoint is None:
        return
    leader = find_leader(world, waiter.endpoint)
    if leader is not None:
        world.send(leader, WithdrawAsk(ask=waiter.ask, endpoint=waiter.endpoint))


def _make_candidates(world: World, waiter: Waiter) -> list[Candidate]:
    """Return the endpoints at which a request could run now, with their last views."""
    ranked = rank_owners(str(waiter.adapter), waiter.candidates)
    candidates = []
    for rank, name in enumerate(ranked):
        endpoint = EndpointId(name)
        silent = world.now < world.entry.silent_until.get(endpoint, NEVER)
        if endpoint in waiter.avoid or silent or not is_available(world, endpoint):
            continue
        spec = world.config.endpoints[endpoint]
        view = _get_fresh_view(world, endpoint)
        candidates.append(
            Candidate(
                endpoint=endpoint,
                rank=rank,
                loaded=spec.kind is EndpointKind.SERVICE
                or waiter.adapter in view.loaded,
                occupied=view.occupied,
                queued=view.queued,
                batch_limit=spec.batch_limit,
                remote=spec.data_centre != world.identity.data_centre,
            )
        )
    return candidates


def _get_fresh_view(world: World, endpoint: EndpointId) -> EndpointView:
    view = world.entry.views.get(endpoint)
    if view is None or world.now - view.received_at > VIEW_TTL:
        return EndpointView(
            endpoint=endpoint,
            loaded=frozenset(),
            occupied=0,
            queued=0,
            received_at=NEVER,
        )
    return view


def _sort_wants(world: World) -> list[Waiter]:
    """Return the waiting requests by priority, then by longest wait."""
    return sorted(
        world.entry.waiters.values(),
        key=lambda waiter: (waiter.priority, waiter.since, waiter.waiter),
    )


@runs_each_tick(50, on_wake=True)
def serve_wants(world: World) -> None:
    """Start waiting requests under held permits, ask for permits, or refuse them."""
    for waiter in _sort_wants(world):
        if world.now >= waiter.deadline_at:
            _refuse_want(world, waiter, RefusalReason.DEADLINE, REFUSAL_RETRY_DELAY)
        elif not _use_held(world, waiter):
            _continue_asking(world, waiter)


def _use_held(world: World, waiter: Waiter) -> bool:
    """Start a request under a permit already held, if one has free capacity."""
    for held in world.entry.held.values():
        matches = held.adapter == waiter.adapter and held.endpoint in waiter.candidates
        if (
            not matches
            or held.endpoint in waiter.avoid
            or not held.has_free_capacity(world.now)
        ):
            continue
        if is_available(world, held.endpoint):
            _withdraw(world, waiter)
            _grant_want(world, waiter, held)
            return True
    return False


def _grant_want(world: World, waiter: Waiter, held: HeldPermit) -> None:
    world.invariants.require(
        USE_ONLY_VALID_PERMITS,
        held.has_free_capacity(world.now) and held.adapter == waiter.adapter,
        f"{held.permit} for {waiter.request}",
    )
    used = replace(held, running=held.running + 1)
    world.entry.held[held.permit] = used
    del world.entry.waiters[waiter.waiter]
    start_probe(world, held.endpoint)
    world.entry.answers.append(WaiterGranted(waiter=waiter.waiter, permit=used))


def _refuse_want(
    world: World,
    waiter: Waiter,
    reason: RefusalReason,
    retry_after: Seconds,
) -> None:
    del world.entry.waiters[waiter.waiter]
    _withdraw(world, waiter)
    refused = WaiterRefused(
        waiter=waiter.waiter, reason=reason, retry_after=retry_after
    )
    world.entry.answers.append(refused)


def _continue_asking(world: World, waiter: Waiter) -> None:
    timing = world.settings.timing
    if waiter.ask is None or waiter.endpoint is None:
        _ask_next(world, waiter)
        return
    if not is_available(world, waiter.endpoint):
        _withdraw(world, waiter)
        _ask_next(world, _clear_ask(waiter))
        return
    first_sent = waiter.sent_at[0] if waiter.sent_at else waiter.since
    silence = world.now - max(first_sent, waiter.received_at)
    if silence > timing.ask_refresh * MAX_UNANSWERED_REFRESHES:
        world.entry.silent_until[waiter.endpoint] = world.now + SILENT_LEADER_BACKOFF
        world.entry.leader_hints.pop(waiter.endpoint, None)
        _withdraw(world, waiter)
        _ask_next(world, replace(_clear_ask(waiter), last_reason="leader silent"))
    elif not waiter.sent_at or world.now - waiter.sent_at[-1] >= timing.ask_refresh:
        _send_ask(world, waiter)


def _clear_ask(waiter: Waiter) -> Waiter:
    return replace(waiter, ask=None, endpoint=None, sent_at=(), hints_followed=0)


def _ask_next(world: World, waiter: Waiter) -> None:
    """Ask the leader of the endpoint that the policy chooses."""
    candidates = _make_candidates(world, waiter)
    if not candidates:
        world.entry.waiters[waiter.waiter] = waiter
        _refuse_if_unservable(world, waiter)
        return
    choose = CHOOSERS[world.settings.placement.policy]
    chosen = choose(candidates, world.settings.placement.homes, world.random)
    world.entry.ask_sequence += 1
    identity = world.identity
    waiter = replace(
        waiter,
        endpoint=chosen.endpoint,
        ask=AskId(f"{waiter.request}/{identity.tag}{world.entry.ask_sequence:x}"),
        sent_at=(),
        hints_followed=0,
        received_at=NEVER,
    )
    world.events.add(
        PART,
        "asks for a permit",
        request=waiter.request,
        endpoint=chosen.endpoint,
        adapter=str(waiter.adapter),
        reason=_describe_choice(chosen),
    )
    _send_ask(world, waiter)


def _describe_choice(chosen: Candidate) -> str:
    loaded = "holds the adapter" if chosen.loaded else "would have to load it"
    return f"{loaded}, rank {chosen.rank}, {chosen.occupied} running"


def _refuse_if_unservable(world: World, waiter: Waiter) -> None:
    """Refuse a request that no endpoint can serve.

    That is so if no candidate is available, if all are to be avoided, or if the
    request has waited for longer than the configured limit.
    """
    available = [each for each in waiter.candidates if is_available(world, each)]
    avoided = all(each in waiter.avoid for each in waiter.candidates)
    timed_out = world.now - waiter.since > world.settings.timing.patience
    if not available or avoided or timed_out:
        _refuse_want(world, waiter, RefusalReason.NO_ENDPOINT, REFUSAL_RETRY_DELAY)


def _send_ask(world: World, waiter: Waiter) -> None:
    endpoint, ask_id = waiter.endpoint, waiter.ask
    assert endpoint is not None and ask_id is not None
    waiter = replace(waiter, sent_at=(*waiter.sent_at, world.now))
    world.entry.waiters[waiter.waiter] = waiter
    leader = find_leader(world, endpoint)
    if leader is None:
        return
    ask = AskPermit(
        ask=ask_id,
        endpoint=endpoint,
        adapter=waiter.adapter.adapter,
        version=waiter.adapter.version,
        priority=int(waiter.priority),
        time_left=waiter.deadline_at - world.now,
        turn=len(waiter.sent_at) - 1,
    )
    world.send(leader, ask)


def _find_want(world: World, ask: str) -> Waiter | None:
    for waiter in world.entry.waiters.values():
        if waiter.ask == ask:
            return waiter
    return None


def _store_view(world: World, view: View) -> None:
    endpoint = EndpointId(view.endpoint)
    world.entry.views[endpoint] = EndpointView(
        endpoint=endpoint,
        loaded=frozenset(parse_adapter_version(name) for name in view.loaded),
        occupied=view.occupied,
        queued=view.queued,
        received_at=world.now,
    )


@handles_message(GrantPermit)
def receive_grant(world: World, sender: VmId, grant: GrantPermit) -> None:
    """Store a granted permit; return one that has expired or that no request awaits."""
    for view in grant.views:
        _store_view(world, view)
    if PermitId(grant.ask) in world.entry.held:
        return
    waiter = _find_want(world, grant.ask)
    known_turn = waiter is not None and grant.turn < len(waiter.sent_at)
    expires_at = (
        waiter.sent_at[grant.turn] + grant.life if waiter and known_turn else NEVER
    )
    if waiter is None or world.now >= expires_at:
        returned = ReturnPermit(
            permit=grant.ask,
            endpoint=grant.endpoint,
            running=0,
            unsure=False,
        )
        world.send(sender, returned)
        if waiter is not None:
            world.entry.waiters[waiter.waiter] = _clear_ask(waiter)
        return
    held = HeldPermit(
        permit=PermitId(grant.ask),
        endpoint=EndpointId(grant.endpoint),
        adapter=AdapterVersion(adapter=grant.adapter, version=grant.version),
        leader=sender,
        epoch=grant.epoch,
        count=grant.count,
        expires_at=expires_at,
        idle_since=world.now,
    )
    world.entry.held[held.permit] = held
    if is_available(world, held.endpoint):
        _grant_want(world, waiter, held)
    else:
        world.entry.waiters[waiter.waiter] = _clear_ask(waiter)


@handles_message(AskQueued)
def receive_queued(world: World, sender: VmId, queued: AskQueued) -> None:
    """Record that the ask is queued.

    If the expected wait exceeds the deadline, avoid this endpoint; refuse the
    request if no other candidate remains.
    """
    _store_view(world, queued.view)
    waiter = _find_want(world, queued.ask)
    if waiter is None:
        return
    waiter = replace(waiter, received_at=world.now)
    world.entry.waiters[waiter.waiter] = waiter
    if world.now + queued.expected_wait <= waiter.deadline_at:
        return
    world.events.add(
        PART,
        "cannot wait there",
        request=waiter.request,
        endpoint=queued.endpoint,
        reason=f"expected wait {queued.expected_wait:.2f} s is past the deadline",
    )
    _withdraw(world, waiter)
    avoid = waiter.avoid | {EndpointId(queued.endpoint)}
    waiter = replace(_clear_ask(waiter), avoid=avoid)
    world.entry.waiters[waiter.waiter] = waiter
    if all(each in avoid for each in waiter.candidates):
        _refuse_want(world, waiter, RefusalReason.DEADLINE, queued.expected_wait)


@handles_message(RefusePermit)
def receive_refusal(world: World, sender: VmId, refusal: RefusePermit) -> None:
    """Follow the leader hint of a refusal, or choose another endpoint."""
    endpoint = EndpointId(refusal.endpoint)
    if refusal.reason == LEAVING:
        world.entry.leaving[endpoint] = world.now + LEAVING_DURATION
    if refusal.reason == NOT_LEADER:
        _follow_hint(world, endpoint, refusal.leader)
    waiter = _find_want(world, refusal.ask)
    if waiter is None:
        return
    if refusal.leader and waiter.hints_followed < MAX_HINTS:
        _send_ask(world, replace(waiter, hints_followed=waiter.hints_followed + 1))
        return
    world.entry.silent_until[endpoint] = world.now + max(
        refusal.retry_after,
        world.settings.timing.tick,
    )
    world.entry.waiters[waiter.waiter] = replace(
        _clear_ask(waiter), last_reason=refusal.reason
    )


def _follow_hint(world: World, endpoint: EndpointId, leader: str) -> None:
    world.entry.leader_hints.pop(endpoint, None)
    if leader and is_reachable(world, VmId(leader)):
        world.entry.leader_hints[endpoint] = VmId(leader)


@handles_event(PermitUsed)
def end_use(world: World, used: PermitUsed) -> None:
    """Release the place that a finished request used."""
    held = world.entry.held.get(used.permit)
    if held is None:
        return
    end_probe(world, held.endpoint)
    unsure = held.unsure or used.end is UseEnd.UNSURE
    held = replace(
        held,
        running=held.running - 1,
        idle_since=world.now,
        unsure=unsure,
        reported_at=NEVER if held.returned or unsure else held.reported_at,
    )
    world.entry.held[held.permit] = held


@runs_each_tick(51)
def return_permits(world: World) -> None:
    """Return permits that are expired, idle, uncertain or for unavailable endpoints.

    The return is repeated until the leader acknowledges it.
    """
    timing = world.settings.timing
    for held in list(world.entry.held.values()):
        idle = held.running == 0 and world.now - held.idle_since > timing.permit_idle
        expired = world.now >= held.expires_at
        unavailable = not is_available(world, held.endpoint)
        if not held.returned and (idle or expired or unavailable or held.unsure):
            held = replace(held, returned=True, reported_at=NEVER)
            world.entry.held[held.permit] = held
        if held.returned and world.now - held.reported_at > RETURN_RETRY_INTERVAL:
            _report_return(world, held)


def _report_return(world: World, held: HeldPermit) -> None:
    leader = find_leader(world, held.endpoint)
    retention_over = world.now - held.expires_at > RETURNED_RETENTION
    if leader is None or (retention_over and held.running == 0):
        if held.running == 0:
            del world.entry.held[held.permit]
        return
    returned = ReturnPermit(
        permit=held.permit,
        endpoint=held.endpoint,
        running=held.running,
        unsure=held.unsure,
    )
    world.entry.held[held.permit] = replace(held, reported_at=world.now)
    world.send(leader, returned)


@handles_message(PermitClosed)
def remove_permit(world: World, sender: VmId, closed: PermitClosed) -> None:
    """Remove a permit that the leader has recorded as closed."""
    held = world.entry.held.get(PermitId(closed.permit))
    if held is not None and held.running == 0 and held.returned:
        del world.entry.held[held.permit]
