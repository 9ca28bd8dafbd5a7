"""Makes long prompts wait for their turn at an engine."""

import asyncio
from collections.abc import Callable
from typing import Final

from kestreltally.entry.progress import UNAVAILABLE, AttemptFailed, Progress
from kestreltally.entry.request import ClientRequest, Refused
from kestreltally.estimates.prefill import PrefillTimeTable, PrefillWork
from kestreltally.fleet.model import Endpoint, Seconds, ServiceName
from kestreltally.fleet.tables import Fleet
from kestreltally.pacing.pauses import EventTimes
from kestreltally.pacing.turns import PromptNeed, Turn, TurnTable, TurnTooLate

# Upper limit of the retry time in refusals: a client that waits longer has no time left
# for its request.
MAX_RETRY_DELAY: Final[Seconds] = 2.0


class PromptPacer:
    """Obtains turns for prompts that take longer to read than streams can hide.

    ``is_paced`` returns whether the prompts of a service wait for turns at all.
    """

    def __init__(
        self,
        fleet: Fleet,
        turns: TurnTable,
        is_paced: Callable[[ServiceName], bool],
        event_times: EventTimes,
        prefill_times: PrefillTimeTable,
    ) -> None:
        self._fleet = fleet
        self._turns = turns
        self._is_paced = is_paced
        self._event_times = event_times
        self._prefill_times = prefill_times

    def needs_turn(
        self, request: ClientRequest, endpoint: Endpoint, work: PrefillWork
    ) -> bool:
        """Return whether a prompt has to wait for its turn at an endpoint.

        A prompt that is read within the time of one event delays a stream by no more
        than an event.
        """
        if request.service.engine is None or not self._is_paced(request.service_name):
            return False
        reading_time = (
            self._prefill_times.compute_token_time(endpoint.id) * work.uncached_tokens
        )
        return reading_time > self._event_times.get(endpoint.id)

    async def obtain(
        self,
        request: ClientRequest,
        progress: Progress,
        endpoint: Endpoint,
        work: PrefillWork,
    ) -> Turn:
        """Wait for a prompt's turn.

        Raises ``Refused`` if it would come too late, and ``AttemptFailed`` if the
        endpoint can't run the request any more when it comes.
        """
        reading_time = (
            self._prefill_times.compute_token_time(endpoint.id) * work.uncached_tokens
        )
        need = PromptNeed(
            tokens=work.uncached_tokens,
            urgency=request.priority,
            organisation=request.organisation_name or "",
            begin_by=request.arrived_at + request.route.objective - reading_time,
            give_up_at=request.first_event_deadline - reading_time,
            request=request.head.id,
        )
        try:
            turn = await self._turns.obtain(endpoint.id, need)
        except TurnTooLate as late:
            retry_after = min(MAX_RETRY_DELAY, late.wait)
            raise Refused(UNAVAILABLE, str(late), retry_after) from late
        progress.turn_wait += turn.waited
        if not self._still_serves(request, endpoint):
            turn.end()
            raise AttemptFailed(
                "endpoint stopped serving before the turn", may_have_run=False
            )
        return turn

    def _still_serves(self, request: ClientRequest, endpoint: Endpoint) -> bool:
        """Return whether an endpoint can still run a request that has waited."""
        key, service = request.head.weights, request.service_name
        now = asyncio.get_running_loop().time()
        holders = (
            self._fleet.list_callable(service, now)
            if key is None
            else self._fleet.list_holders(service, key, now)
        )
        return any(each.id == endpoint.id for each in holders)
