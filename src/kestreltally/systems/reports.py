"""Fetches the reports of endpoints and applies them to the leader's state.

Reports lag: a report is only valid for times before it was composed.
"""

from dataclasses import replace
from typing import Final

from kestreltally.entities.endpoints import EndpointReport, LedEndpoint, Phase, Slot
from kestreltally.entities.ids import NEVER, AdapterVersion, Seconds
from kestreltally.entities.permits import LoadState, PermitState
from kestreltally.orders import FetchReport, ReportFetched
from kestreltally.systems.leadership import TOKEN_BITS
from kestreltally.systems.registry import handles_event, runs_each_tick
from kestreltally.world import World

PART: Final = "reports"
LOAD_SETTLE_DELAY: Final[Seconds] = 0.05


@runs_each_tick(40)
def request_reports(world: World) -> None:
    """Request a report from each led endpoint when one is due."""
    period = world.settings.timing.report_period
    for led in list(world.leaders.led_endpoints.values()):
        if world.now - led.report_requested_at >= period:
            world.update_led_endpoint(led, report_requested_at=world.now)
            world.outbox.append(FetchReport(endpoint=led.endpoint))


@handles_event(ReportFetched)
def apply_report(world: World, fetched: ReportFetched) -> None:
    """Update the state of a led endpoint from its report."""
    led = world.leaders.led_endpoints.get(fetched.endpoint)
    report = fetched.report
    if led is None or report is None:
        return
    if led.report is not None and report.composed_at < led.report.composed_at:
        return
    if report.fence >> TOKEN_BITS > led.record.epoch:
        world.update_led_endpoint(led, phase=Phase.SUSPENDED)
        return
    if led.instance and report.instance != led.instance:
        led = _reset_instance(world, led)
    if report.leaving and not led.leaving:
        world.events.add(PART, "says it is leaving", endpoint=led.endpoint)
    led = world.update_led_endpoint(
        led,
        instance=report.instance,
        report=report,
        leaving=report.leaving,
    )
    _close_expired_permits(world, led, report)
    world.update_led_endpoint(led, slots=_merge_slots(world, led, report))


def _reset_instance(world: World, led: LedEndpoint) -> LedEndpoint:
    """Reset the state of a restarted endpoint: nothing runs or is loaded on it."""
    world.events.add(PART, "restarted with nothing loaded", endpoint=led.endpoint)
    for permit in list(world.permits_of(led.endpoint)):
        if permit.state is PermitState.EXPIRED:
            del world.grants.permits[permit.permit]
    for load in list(world.grants.loads.values()):
        if load.endpoint == led.endpoint and load.state is LoadState.ORDERED:
            del world.grants.loads[load.load]
    phase = Phase.CLAIMED if led.phase is Phase.FENCED else led.phase
    return world.update_led_endpoint(
        led, slots={}, phase=phase, fence_requested_at=NEVER
    )


def _close_expired_permits(
    world: World,
    led: LedEndpoint,
    report: EndpointReport,
) -> None:
    """Remove expired permits that ended before the report was composed.

    The report's count includes the requests that were started under them.
    """
    for permit in list(world.permits_of(led.endpoint)):
        expired = permit.state is PermitState.EXPIRED
        if expired and report.composed_at > permit.expires_at:
            del world.grants.permits[permit.permit]
            world.events.add(
                PART,
                "closes a permit whose holder is silent",
                endpoint=led.endpoint,
                adapter=str(permit.adapter),
            )


def _merge_slots(
    world: World,
    led: LedEndpoint,
    report: EndpointReport,
) -> dict[AdapterVersion, Slot]:
    loading = {
        load.adapter
        for load in world.grants.loads.values()
        if load.endpoint == led.endpoint and load.state is LoadState.ORDERED
    }
    slots = {}
    for adapter, slot in led.slots.items():
        shown = adapter in report.loaded
        too_old = report.composed_at <= slot.loaded_at + LOAD_SETTLE_DELAY
        if shown or too_old:
            slots[adapter] = _clear_doubt(slot, report)
        else:
            world.events.add(
                PART,
                "no longer holds an adapter",
                endpoint=led.endpoint,
                adapter=str(adapter),
            )
    for adapter in report.loaded:
        if adapter not in slots and adapter not in loading and _is_newer(led, report):
            doubtful = adapter in led.unsure
            slots[adapter] = Slot(
                adapter=adapter,
                loaded_at=report.composed_at,
                used_at=world.now,
                report_required_after=world.now if doubtful else 0.0,
            )
    return slots


def _is_newer(led: LedEndpoint, report: EndpointReport) -> bool:
    """Return whether a report can add slots.

    It must be composed after this leader's start and after its last change.
    """
    return report.composed_at > max(led.since, led.changed_at)


def _clear_doubt(slot: Slot, report: EndpointReport) -> Slot:
    """Clear the slot's uncertainty if a later report shows no running requests."""
    idle = report.running.get(slot.adapter, 0) == 0
    if (
        slot.report_required_after > 0
        and report.composed_at > slot.report_required_after
        and idle
    ):
        return replace(slot, report_required_after=0.0)
    return slot
