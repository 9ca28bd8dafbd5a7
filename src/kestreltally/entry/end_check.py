"""Finds out whether answers that ended with their connection are complete."""

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.answer_end import (
    AnsweringProcess,
    ConnectionOutcome,
    EndedAnswer,
    EndVerdict,
    evaluate_end,
)
from kestreltally.entry.run import Run
from kestreltally.entry.upstream import Answer, AnswerTruncated, ChannelPool
from kestreltally.fleet.model import Endpoint, Seconds

LOG = logging.getLogger("kestreltally.relay")

# Pause before an endpoint is asked again for a connection.
RECHECK_DELAY: Final[Seconds] = 0.1
# A process that ends closes its connections before its listener, within this time.
MAX_EXIT_TIME: Final[Seconds] = 0.03


class EndCheck:
    """Asks the endpoints of such answers for another connection.

    ``find_process`` returns which process has accepted it. ``counts`` counts the
    answers by verdict.
    """

    def __init__(self, pool: ChannelPool) -> None:
        self._pool = pool
        self.find_process: Callable[[Run], Awaitable[AnsweringProcess]] = _know_nothing
        self.counts: Counter[str] = Counter()

    async def check(self, run: Run, answer: Answer) -> None:
        """Raise ``AnswerTruncated`` for an answer that is not known to be complete.

        Only an answer without length and chunks can be truncated unnoticed.
        """
        if answer.delimited:
            return
        clock = asyncio.get_running_loop().time
        ended_at = clock()
        while True:
            ended = await self._observe(run, ended_at)
            verdict = evaluate_end(ended)
            if verdict is not EndVerdict.UNKNOWN:
                break
            await asyncio.sleep(RECHECK_DELAY)
        self.counts[verdict.value] += 1
        _log(run, answer, ended)
        if verdict is EndVerdict.TRUNCATED:
            raise AnswerTruncated(
                "answer ended with its connection: a new one is "
                f"{ended.connection.value}, by process: {ended.process.value}"
            )

    async def _observe(self, run: Run, ended_at: Seconds) -> EndedAnswer:
        clock = asyncio.get_running_loop().time
        process = AnsweringProcess.UNKNOWN
        connection = await self._pool.try_connect(run.endpoint)
        may_exit = clock() - ended_at < MAX_EXIT_TIME
        if connection is ConnectionOutcome.ACCEPTED:
            process = await self.find_process(run)
            if process is AnsweringProcess.UNKNOWN and may_exit:
                connection = await self._confirm(run.endpoint)
        return EndedAnswer(connection, clock() - ended_at, process)

    async def _confirm(self, endpoint: Endpoint) -> ConnectionOutcome:
        """Return whether what has accepted a connection is more than about to end."""
        await asyncio.sleep(MAX_EXIT_TIME)
        if self._pool.has_idle(endpoint):
            return ConnectionOutcome.ACCEPTED
        return await self._pool.try_connect(endpoint)


def _log(run: Run, answer: Answer, ended: EndedAnswer) -> None:
    log_decision(
        LOG,
        Decision.ANSWER_UNDELIMITED,
        request=run.request.head.id,
        endpoint=run.endpoint.id,
        status=answer.status,
        size=answer.taken,
        events=run.events.count,
        listening=ended.connection is ConnectionOutcome.ACCEPTED,
        connection=ended.connection.value,
        process=ended.process.value,
        waited=round(ended.unknown_for, 3),
    )


async def _know_nothing(_: Run) -> AnsweringProcess:
    return AnsweringProcess.UNKNOWN
