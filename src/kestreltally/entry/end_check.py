"""Finds out whether answers that ended with their connection are complete."""

import asyncio
import logging
from collections import Counter
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.answer_end import (
    ConnectionOutcome,
    EndedAnswer,
    EndVerdict,
    evaluate_end,
)
from kestreltally.entry.run import Run
from kestreltally.entry.upstream import Answer, AnswerTruncated, ChannelPool
from kestreltally.fleet.model import Seconds

LOG = logging.getLogger("kestreltally.relay")

# Pause before an endpoint is asked again for a connection.
RECHECK_DELAY: Final[Seconds] = 0.1


class EndCheck:
    """Asks the endpoints of such answers for another connection.

    ``counts`` counts the answers by verdict.
    """

    def __init__(self, pool: ChannelPool) -> None:
        self._pool = pool
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
            connection = await self._pool.try_connect(run.endpoint)
            waited = clock() - ended_at
            verdict = evaluate_end(EndedAnswer(connection, waited))
            if verdict is not EndVerdict.UNKNOWN:
                break
            await asyncio.sleep(RECHECK_DELAY)
        self.counts[verdict.value] += 1
        self._log(run, answer, connection, waited)
        if verdict is EndVerdict.TRUNCATED:
            raise AnswerTruncated(
                f"answer ended with its connection, a new one is {connection.value}"
            )

    def _log(
        self, run: Run, answer: Answer, connection: ConnectionOutcome, waited: Seconds
    ) -> None:
        log_decision(
            LOG,
            Decision.ANSWER_UNDELIMITED,
            request=run.request.head.id,
            endpoint=run.endpoint.id,
            status=answer.status,
            size=answer.taken,
            events=run.events.count,
            listening=connection is ConnectionOutcome.ACCEPTED,
            connection=connection.value,
            waited=round(waited, 3),
        )
