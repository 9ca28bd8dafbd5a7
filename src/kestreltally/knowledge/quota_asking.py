"""Asks the keeper of an organisation's account whether a request may run."""

import asyncio
import logging
import time
from collections import Counter
from collections.abc import Callable
from itertools import count
from typing import Any, Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.deployment import SocketAddress
from kestreltally.fleet.model import OrganisationName, Seconds
from kestreltally.knowledge.datagrams import DatagramPort
from kestreltally.knowledge.quota_keeping import QuotaKeeping
from kestreltally.knowledge.structs import QuotaAsked
from kestreltally.quotas.order import Ask, Verdict
from kestreltally.quotas.spending import Keeper

LOG = logging.getLogger("kestreltally.gate")

# A question is sent again after this time without an answer, and given up after as long
# once more.
ANSWER_TIMEOUT: Final[Seconds] = 0.05
TRIES: Final = 2
# A silent keeper is not asked for this long.
SILENCE_PAUSE: Final[Seconds] = 1.0
# Questions that were given up are remembered, so that late grants are refunded.
MAX_GIVEN_UP: Final = 1_024


class QuotaAsking:
    """Sends questions to keepers, and awaits their answers.

    ``refund`` returns units that a keeper granted to a request that did not use them.
    """

    def __init__(
        self,
        keeping: QuotaKeeping,
        datagrams: DatagramPort,
        refund: Callable[[OrganisationName, int], None],
        clock: Callable[[], Seconds],
    ) -> None:
        self._keeping = keeping
        self._datagrams = datagrams
        self._refund = refund
        self._clock = clock
        # Answers to an earlier start of this daemon must not match.
        self._numbers = count(time.time_ns())
        self._waiting: dict[int, asyncio.Future[Verdict]] = {}
        self._given_up: dict[int, Ask] = {}
        self._silent_until: dict[Keeper, Seconds] = {}
        # Questions by how they ended.
        self.counts: Counter[str] = Counter()
        datagrams.handlers["quota_answered"] = self._apply_answers

    async def ask(self, keeper: Keeper, ask: Ask) -> Verdict | None:
        """Return a keeper's verdict on a request, None if it does not answer."""
        address = SocketAddress(keeper.host, keeper.port)
        if address == self._keeping.address:
            return self._keeping.decide(ask)
        if self._clock() < self._silent_until.get(keeper, float("-inf")):
            self.counts["unasked"] += 1
            return None
        number = next(self._numbers)
        future: asyncio.Future[Verdict] = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        try:
            verdict = await self._send(address, number, ask, future)
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and future.result().granted:
                self._refund(ask.organisation, ask.units)
            raise
        finally:
            del self._waiting[number]
            if not future.done() or future.cancelled():
                self._give_up(number, ask)
        if verdict is None:
            self._record_silence(keeper, ask)
        else:
            self.counts["granted" if verdict.granted else "refused"] += 1
        return verdict

    async def _send(
        self,
        address: SocketAddress,
        number: int,
        ask: Ask,
        future: asyncio.Future[Verdict],
    ) -> Verdict | None:
        row = QuotaAsked(
            number=number,
            organisation=ask.organisation,
            content=ask.content,
            units=ask.units,
            patience=ask.patience,
        )
        for _ in range(TRIES):
            self._datagrams.send(address, quota_asked=[row])
            await asyncio.wait([future], timeout=ANSWER_TIMEOUT)
            if future.done():
                return future.result()
        return None

    def _give_up(self, number: int, ask: Ask) -> None:
        self._given_up[number] = ask
        if len(self._given_up) > MAX_GIVEN_UP:
            del self._given_up[next(iter(self._given_up))]

    def _record_silence(self, keeper: Keeper, ask: Ask) -> None:
        self.counts["silent"] += 1
        self._silent_until[keeper] = self._clock() + SILENCE_PAUSE
        log_decision(
            LOG,
            Decision.QUOTA_KEEPER_SILENT,
            keeper=f"{keeper.host}:{keeper.port}",
            organisation=ask.organisation,
        )

    def _apply_answers(self, message: Any, _: SocketAddress) -> None:
        for row in message.quota_answered:
            future = self._waiting.get(row.number)
            if future is not None and not future.done():
                future.set_result(Verdict(row.granted, row.wait, row.reserved))
                continue
            ask = self._given_up.pop(row.number, None)
            if ask is not None and row.granted:
                self._refund(ask.organisation, ask.units)
