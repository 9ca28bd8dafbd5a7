"""Asks an engine's address for a report, to tell whether the engine was replaced.

A report takes no place at an engine. Other endpoints have nothing of the kind: their
health check waits for a place, or is rejected as a request is.
"""

import asyncio
from typing import Final

from kestreltally.entry.answer_end import AnsweringProcess
from kestreltally.entry.run import Run
from kestreltally.entry.upstream import (
    Answer,
    AnswerLost,
    AnswerTruncated,
    ChannelPool,
    NotConnected,
    encode_head,
)
from kestreltally.fleet.model import Endpoint, Seconds, is_other_incarnation
from kestreltally.fleet.notices import NoticeTable, Unavailable
from kestreltally.platform.documents import MalformedDocument
from kestreltally.platform.engines import REPORT_PATH, decode_start_time
from kestreltally.platform.headers import MISDIRECTED, REQUEST_ID, encode_request

# Engines report within a few ms; one that is paused is not waited for.
REPORT_TIMEOUT: Final[Seconds] = 0.2
MAX_REPORT_BYTES: Final = 2**18
OK: Final = 200


class ProcessCheck:
    """Finds out which process listens at the address of a run's endpoint."""

    def __init__(self, pool: ChannelPool, notices: NoticeTable) -> None:
        self._pool = pool
        self._notices = notices
        self._checks = 0

    async def find_process(self, run: Run) -> AnsweringProcess:
        """Return which process answers; ``UNKNOWN`` if it may not be asked now."""
        endpoint = run.endpoint
        now = asyncio.get_running_loop().time()
        if (
            run.request.service.engine is None
            or self._notices.compute_backoff(endpoint, now)
            or self._notices.is_rate_limited(endpoint)
        ):
            return AnsweringProcess.UNKNOWN
        try:
            async with asyncio.timeout(REPORT_TIMEOUT):
                return await self._ask(endpoint)
        except (
            AnswerLost,
            AnswerTruncated,
            MalformedDocument,
            NotConnected,
            TimeoutError,
            Unavailable,
        ):
            return AnsweringProcess.UNKNOWN

    async def _ask(self, endpoint: Endpoint) -> AnsweringProcess:
        self._checks += 1
        request_id = f"process-{endpoint.id}-{self._checks}"
        headers = [
            ("Host", f"{endpoint.host}:{endpoint.port}"),
            (REQUEST_ID, request_id),
            *encode_request(REPORT_TIMEOUT, endpoint.id, None, None),
        ]
        channel = await self._pool.acquire(endpoint)
        keep = False
        try:
            head = encode_head("GET", REPORT_PATH, headers)
            answer = await channel.send(head, b"", request_id, is_own=True)
            process = await _read_process(endpoint, answer)
            keep = True
            return process
        finally:
            self._pool.release(channel, keep=keep)


async def _read_process(endpoint: Endpoint, answer: Answer) -> AnsweringProcess:
    """Return which process gave an answer; raises ``MalformedDocument`` too."""
    body = await answer.read_all(MAX_REPORT_BYTES)
    if answer.status == MISDIRECTED:
        return AnsweringProcess.OTHER
    if answer.status != OK or body is None:
        raise MalformedDocument(f"report: status {answer.status}")
    if is_other_incarnation(endpoint.start_time_ms, decode_start_time(body)):
        return AnsweringProcess.OTHER
    return AnsweringProcess.SAME
