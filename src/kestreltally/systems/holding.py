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
from kestreltally.entities.permits import HeldPermit, Want
from kestreltally.invariants import declare_invariant
from kestreltally.orders import (
    PermitUsed,
    RefusalReason,
    UseEnd,
    WantAdded,
    WantDropped,
    WantGranted,
    WantRefused,
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


@handles_event(WantAdded)
def add_want(world: World, added: WantAdded) -> None:
    """Add a waiting request."""
    world.entry.wants[added.want.want] = added.want


@handles_event(WantDropped)
def drop_want(world: World, dropped: WantDropped) -> None:
    """Remove a request that no longer waits, and withdraw its ask."""
    want = world.entry.wants.pop(dropped.want, None)
    if want is not None:
        _withdraw(world, want)


def _withdraw(world: World, want: Want) -> None:
    if want.ask is None or want.endpoint is None:
        return
    leader = find_leader(world, want.endpoint)
    if leader is not None:
        world.send(leader, WithdrawAsk(ask=want.ask, endpoint=want.endpoint))


def _make_candidates(world: World, want: Want) -> list[Candidate]:
    """Return the endpoints at which a request could run now, with their last views."""
    ranked = rank_owners(str(want.adapter), want.candidates)
    candidates = []
    for rank, name in enumerate(ranked):
        endpoint = EndpointId(name)
        silent = world.now < world.entry.silent_until.get(endpoint, NEVER)
        if endpoint in want.avoid or silent or not is_available(world, endpoint):
            continue
        spec = world.config.endpoints[endpoint]
        view = _get_fresh_view(world, endpoint)
        candidates.append(
            Candidate(
                endpoint=endpoint,
                rank=rank,
                loaded=spec.kind is EndpointKind.SERVICE or want.adapter in view.loaded,
                occupied=view.occupied,
                queued=view.queued,
                batch_limit=spec.batch_limit,
                remote=spec.data_centre != world.identity.data_centre,
            )
        )
    return candidates


def _get_fresh_view(world: World, endpoint: EndpointId) -> EndpointView:
    view = world.entry.views.get(endpoint)
    if view is None or world.now - view.heard_at > VIEW_TTL:
        return EndpointView(
            endpoint=endpoint,
            loaded=frozenset(),
            occupied=0,
            queued=0,
            heard_at=NEVER,
        )
    return view


def _sort_wants(world: World) -> list[Want]:
    """Return the waiting requests by priority, then by longest wait."""
    return sorted(
        world.entry.wants.values(),
        key=lambda want: (want.priority, want.since, want.want),
    )


@runs_each_tick(50, on_wake=True)
def serve_wants(world: World) -> None:
    """Start waiting requests under held permits, ask for permits, or refuse them."""
    for want in _sort_wants(world):
        if world.now >= want.deadline_at:
            _refuse_want(world, want, RefusalReason.DEADLINE, REFUSAL_RETRY_DELAY)
        elif not _use_held(world, want):
            _continue_asking(world, want)


def _use_held(world: World, want: Want) -> bool:
    """Start a request under a permit already held, if one has free capacity."""
    for held in world.entry.held.values():
        matches = held.adapter == want.adapter and held.endpoint in want.candidates
        if (
            not matches
            or held.endpoint in want.avoid
            or not held.has_free_capacity(world.now)
        ):
            continue
        if is_available(world, held.endpoint):
            _withdraw(world, want)
            _grant_want(world, want, held)
            return True
    return False


def _grant_want(world: World, want: Want, held: HeldPermit) -> None:
    world.invariants.require(
        USE_ONLY_VALID_PERMITS,
        held.has_free_capacity(world.now) and held.adapter == want.adapter,
        f"{held.permit} for {want.request}",
    )
    used = replace(held, running=held.running + 1)
    world.entry.held[held.permit] = used
    del world.entry.wants[want.want]
    start_probe(world, held.endpoint)
    world.entry.answers.append(WantGranted(want=want.want, permit=used))


def _refuse_want(
    world: World,
    want: Want,
    reason: RefusalReason,
    retry_after: Seconds,
) -> None:
    del world.entry.wants[want.want]
    _withdraw(world, want)
    refused = WantRefused(want=want.want, reason=reason, retry_after=retry_after)
    world.entry.answers.append(refused)


def _continue_asking(world: World, want: Want) -> None:
    timing = world.settings.timing
    if want.ask is None or want.endpoint is None:
        _ask_next(world, want)
        return
    if not is_available(world, want.endpoint):
        _withdraw(world, want)
        _ask_next(world, _clear_ask(want))
        return
    first_sent = want.sent_at[0] if want.sent_at else want.since
    silence = world.now - max(first_sent, want.heard_at)
    if silence > timing.ask_refresh * MAX_UNANSWERED_REFRESHES:
        world.entry.silent_until[want.endpoint] = world.now + SILENT_LEADER_BACKOFF
        world.entry.hints.pop(want.endpoint, None)
        _withdraw(world, want)
        _ask_next(world, replace(_clear_ask(want), last_reason="leader silent"))
    elif not want.sent_at or world.now - want.sent_at[-1] >= timing.ask_refresh:
        _send_ask(world, want)


def _clear_ask(want: Want) -> Want:
    return replace(want, ask=None, endpoint=None, sent_at=(), hints_followed=0)


def _ask_next(world: World, want: Want) -> None:
    """Ask the leader of the endpoint that the policy chooses."""
    candidates = _make_candidates(world, want)
    if not candidates:
        world.entry.wants[want.want] = want
        _refuse_if_unservable(world, want)
        return
    choose = CHOOSERS[world.settings.placement.policy]
    chosen = choose(candidates, world.settings.placement.homes, world.random)
    world.entry.ask_sequence += 1
    identity = world.identity
    want = replace(
        want,
        endpoint=chosen.endpoint,
        ask=AskId(f"{want.request}/{identity.tag}{world.entry.ask_sequence:x}"),
        sent_at=(),
        hints_followed=0,
        heard_at=NEVER,
    )
    world.events.add(
        PART,
        "asks for a permit",
        request=want.request,
        endpoint=chosen.endpoint,
        adapter=str(want.adapter),
        reason=_describe_choice(chosen),
    )
    _send_ask(world, want)


def _describe_choice(chosen: Candidate) -> str:
    loaded = "holds the adapter" if chosen.loaded else "would have to load it"
    return f"{loaded}, rank {chosen.rank}, {chosen.occupied} running"


def _refuse_if_unservable(world: World, want: Want) -> None:
    """Refuse a request that no endpoint can serve.

    That is so if no candidate is available, if all are to be avoided, or if the
    request has waited for longer than the configured limit.
    """
    available = [each for each in want.candidates if is_available(world, each)]
    avoided = all(each in want.avoid for each in want.candidates)
    timed_out = world.now - want.since > world.settings.timing.patience
    if not available or avoided or timed_out:
        _refuse_want(world, want, RefusalReason.NO_ENDPOINT, REFUSAL_RETRY_DELAY)


def _send_ask(world: World, want: Want) -> None:
    endpoint, ask_id = want.endpoint, want.ask
    assert endpoint is not None and ask_id is not None
    want = replace(want, sent_at=(*want.sent_at, world.now))
    world.entry.wants[want.want] = want
    leader = find_leader(world, endpoint)
    if leader is None:
        return
    ask = AskPermit(
        ask=ask_id,
        endpoint=endpoint,
        adapter=want.adapter.adapter,
        version=want.adapter.version,
        priority=int(want.priority),
        time_left=want.deadline_at - world.now,
        turn=len(want.sent_at) - 1,
    )
    world.send(leader, ask)


def _find_want(world: World, ask: str) -> Want | None:
    for want in world.entry.wants.values():
        if want.ask == ask:
            return want
    return None


def _store_view(world: World, view: View) -> None:
    endpoint = EndpointId(view.endpoint)
    world.entry.views[endpoint] = EndpointView(
        endpoint=endpoint,
        loaded=frozenset(parse_adapter_version(name) for name in view.loaded),
        occupied=view.occupied,
        queued=view.queued,
        heard_at=world.now,
    )


@handles_message(GrantPermit)
def receive_grant(world: World, sender: VmId, grant: GrantPermit) -> None:
    """Store a granted permit; return one that has expired or that no request awaits."""
    for view in grant.views:
        _store_view(world, view)
    if PermitId(grant.ask) in world.entry.held:
        return
    want = _find_want(world, grant.ask)
    known_turn = want is not None and grant.turn < len(want.sent_at)
    expires_at = want.sent_at[grant.turn] + grant.life if want and known_turn else NEVER
    if want is None or world.now >= expires_at:
        returned = ReturnPermit(
            permit=grant.ask,
            endpoint=grant.endpoint,
            running=0,
            unsure=False,
        )
        world.send(sender, returned)
        if want is not None:
            world.entry.wants[want.want] = _clear_ask(want)
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
        _grant_want(world, want, held)
    else:
        world.entry.wants[want.want] = _clear_ask(want)


@handles_message(AskQueued)
def receive_queued(world: World, sender: VmId, queued: AskQueued) -> None:
    """Record that the ask is queued.

    If the expected wait exceeds the deadline, avoid this endpoint; refuse the
    request if no other candidate remains.
    """
    _store_view(world, queued.view)
    want = _find_want(world, queued.ask)
    if want is None:
        return
    want = replace(want, heard_at=world.now)
    world.entry.wants[want.want] = want
    if world.now + queued.expected_wait <= want.deadline_at:
        return
    world.events.add(
        PART,
        "cannot wait there",
        request=want.request,
        endpoint=queued.endpoint,
        reason=f"expected wait {queued.expected_wait:.2f} s is past the deadline",
    )
    _withdraw(world, want)
    avoid = want.avoid | {EndpointId(queued.endpoint)}
    want = replace(_clear_ask(want), avoid=avoid)
    world.entry.wants[want.want] = want
    if all(each in avoid for each in want.candidates):
        _refuse_want(world, want, RefusalReason.DEADLINE, queued.expected_wait)


@handles_message(RefusePermit)
def receive_refusal(world: World, sender: VmId, refusal: RefusePermit) -> None:
    """Follow the leader hint of a refusal, or choose another endpoint."""
    endpoint = EndpointId(refusal.endpoint)
    if refusal.reason == LEAVING:
        world.entry.leaving[endpoint] = world.now + LEAVING_DURATION
    if refusal.reason == NOT_LEADER:
        _follow_hint(world, endpoint, refusal.leader)
    want = _find_want(world, refusal.ask)
    if want is None:
        return
    if refusal.leader and want.hints_followed < MAX_HINTS:
        _send_ask(world, replace(want, hints_followed=want.hints_followed + 1))
        return
    world.entry.silent_until[endpoint] = world.now + max(
        refusal.retry_after,
        world.settings.timing.tick,
    )
    world.entry.wants[want.want] = replace(_clear_ask(want), last_reason=refusal.reason)


def _follow_hint(world: World, endpoint: EndpointId, leader: str) -> None:
    world.entry.hints.pop(endpoint, None)
    if leader and is_reachable(world, VmId(leader)):
        world.entry.hints[endpoint] = VmId(leader)


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
        told_at=NEVER if held.returned or unsure else held.told_at,
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
            held = replace(held, returned=True, told_at=NEVER)
            world.entry.held[held.permit] = held
        if held.returned and world.now - held.told_at > RETURN_RETRY_INTERVAL:
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
    world.entry.held[held.permit] = replace(held, told_at=world.now)
    world.send(leader, returned)


@handles_message(PermitClosed)
def remove_permit(world: World, sender: VmId, closed: PermitClosed) -> None:
    """Remove a permit that the leader has recorded as closed."""
    held = world.entry.held.get(PermitId(closed.permit))
    if held is not None and held.running == 0 and held.returned:
        del world.entry.held[held.permit]
