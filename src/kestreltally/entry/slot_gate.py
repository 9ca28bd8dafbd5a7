"""Makes requests for brittle endpoints wait until there is room for them."""

import asyncio
from dataclasses import replace
from typing import Final

from kestreltally.entry.choice import Option, compute_cost
from kestreltally.entry.finder import EndpointFinder
from kestreltally.entry.progress import UNAVAILABLE, Progress, make_final_error
from kestreltally.entry.request import ClientRequest, Refused
from kestreltally.entry.wait_limits import MAX_RETRY_DELAY, compute_ready_deadline
from kestreltally.fleet.model import Endpoint, EndpointId, Seconds
from kestreltally.fleet.tables import Fleet
from kestreltally.slots.table import SlotNeed, SlotTable, SlotTooLate

# Endpoints at which one request waits for a slot at the same time.
MAX_ENDPOINTS: Final = 4


class SlotGate:
    """Obtains slots for requests whose endpoint says that it is brittle."""

    def __init__(self, fleet: Fleet, finder: EndpointFinder, table: SlotTable) -> None:
        self._fleet = fleet
        self._finder = finder
        self.table = table

    def is_needed(self, endpoint: Endpoint) -> bool:
        """Return whether a request needs a slot to be sent to an endpoint."""
        return self._fleet.find_brittleness(endpoint) is not None

    async def obtain(
        self, request: ClientRequest, progress: Progress, preferred: Option
    ) -> Option | None:
        """Return an option with a slot, the preferred one or one that is free sooner.

        Return None if none of them can serve any more; raises ``Refused``.
        """
        options = self._list_options(request, progress, preferred)
        started_at = asyncio.get_running_loop().time()
        try:
            slot = await self.table.obtain(
                list(options), _make_need(request, progress, started_at)
            )
        except SlotTooLate as late:
            progress.last_fault = str(late)
            if progress.runs or progress.response is not None:
                raise make_final_error(progress) from late
            wait = late.wait if late.wait is not None else MAX_RETRY_DELAY
            retry_after = min(MAX_RETRY_DELAY, wait)
            raise Refused(UNAVAILABLE, str(late), retry_after) from late
        progress.slot_wait += asyncio.get_running_loop().time() - started_at
        if slot is None:
            return None
        if not self._finder.can_serve(request, progress, slot.endpoint):
            with slot:
                return None
        return replace(options[slot.endpoint], slot=slot)

    def _list_options(
        self, request: ClientRequest, progress: Progress, preferred: Option
    ) -> dict[EndpointId, Option]:
        """Return the options by endpoint: the preferred one, then by their cost."""
        others = sorted(self._finder.list_options(request, progress), key=compute_cost)
        brittle = [each for each in others if self.is_needed(each.endpoint)]
        ordered = {each.endpoint.id: each for each in (preferred, *brittle)}
        return dict(list(ordered.items())[:MAX_ENDPOINTS])


def _make_need(request: ClientRequest, progress: Progress, now: Seconds) -> SlotNeed:
    is_new = not progress.sends and not progress.slot_wait
    return SlotNeed(
        urgency=request.priority,
        begin_by=compute_ready_deadline(request, progress, 0.0, is_new=is_new),
        give_up_at=compute_ready_deadline(request, progress, 0.0, is_new=False),
        is_whole=not request.route.silence_limit,
    )
