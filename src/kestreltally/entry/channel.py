"""An HTTP connection to an endpoint (channel), used for one request at a time.

The parser and the protocol are aiohttp's. Its client session is not used, because this
module has to decide itself what may be sent again, which pooled connection may carry a
request that must not run twice, and when a connection with surplus bytes is dropped.
"""

import asyncio
import logging
from typing import Final

from aiohttp import EofStream
from aiohttp.client_exceptions import ClientError
from aiohttp.http_exceptions import HttpProcessingError
from multidict import MultiMapping

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.answer import (
    Answer,
    AnswerInvalid,
    AnswerLost,
    ChannelClosed,
    read_idle_time,
)
from kestreltally.entry.answer_head import InvalidHead
from kestreltally.entry.channel_protocol import ChannelProtocol
from kestreltally.entry.channel_rules import ChannelRules
from kestreltally.entry.channels import DEFAULT_IDLE_TIME, KEEP_ALIVE_MARGIN
from kestreltally.entry.framing import is_delimited, is_ignored
from kestreltally.fleet.model import Endpoint, Seconds
from kestreltally.fleet.named_limits import NEVER
from kestreltally.fleet.notices import NoticeTable
from kestreltally.platform.headers import (
    is_genuine,
    list_unrecognised,
    read_answer_ids,
    read_instance,
    read_notice,
)

LOG = logging.getLogger("kestreltally.relay")

# The longest time for which a pool without channel rules uses an idle channel.
MAX_IDLE_TIMEOUT: Final[Seconds] = 10.0
READ_BUFFER_BYTES: Final = 2**16
MAX_HEAD_BYTES: Final = 32_768
# Number of answers to other requests that are skipped before a channel is given up.
MAX_SURPLUS_ANSWERS: Final = 3
# The longest body of such an answer.
MAX_SURPLUS_BYTES: Final = 2**18
# The number of requests after which a channel is not used again, which bounds what is
# kept of their ids.
MAX_REQUESTS: Final = 512
MIN_FAILURE_STATUS: Final = 500


async def _skip_body(answer: Answer) -> None:
    """Read the body of an answer that nobody waits for; raises ``AnswerLost``."""
    skipped = 0
    while not answer.body.at_eof():
        skipped += len(await answer.body.readany())
        if skipped > MAX_SURPLUS_BYTES:
            raise AnswerLost(
                f"answer to another request exceeds {MAX_SURPLUS_BYTES} bytes"
            )


class Channel:
    """One connection to one incarnation of an endpoint.

    All messages of an endpoint pass through it: answers to forward, refusals, reports,
    answers to orders, and late answers that no request waits for any more.
    """

    def __init__(
        self, protocol: ChannelProtocol, endpoint: Endpoint, notices: NoticeTable
    ) -> None:
        self._protocol = protocol
        self._endpoint = endpoint
        self._notices = notices
        self._loop = asyncio.get_running_loop()
        self.usable_until = self._loop.time() + DEFAULT_IDLE_TIME
        self.open_until = self.usable_until
        self.idle_since = self._loop.time()
        self.learns = False
        self._stated_idle_time: Seconds | None = None
        self._answer: Answer | None = None
        self._opened_at = self._loop.time()
        self._exchanges = 0
        # The hashes of the ids of all requests that were sent over the channel.
        self._sent: set[int] = set()

    @property
    def age(self) -> Seconds:
        """Return for how long the channel has been open."""
        return self._loop.time() - self._opened_at

    @property
    def exchanges(self) -> int:
        """Return how many requests and own calls were sent over the channel."""
        return self._exchanges

    @property
    def endpoint(self) -> Endpoint:
        """Return the endpoint's record at the last use."""
        return self._endpoint

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port of the endpoint."""
        return self._endpoint.host, self._endpoint.port

    def set_endpoint(self, endpoint: Endpoint) -> None:
        """Set the endpoint's current record, to which notices are applied."""
        self._endpoint = endpoint

    @property
    def reusable(self) -> bool:
        """Return whether the channel is open and no surplus bytes have arrived."""
        if len(self._sent) >= MAX_REQUESTS:
            return False
        return self._protocol.is_connected() and not self._protocol.should_close

    def has_sent(self, request_id: str) -> bool:
        """Return whether a request was sent over the channel before.

        A late copy of its first answer could not be told from that to another send.
        """
        return hash(request_id) in self._sent

    async def send(
        self, head: bytes, body: bytes, request_id: str, *, is_own: bool = False
    ) -> Answer:
        """Send a request and return the head of its answer.

        A faulty endpoint may send a second answer to an earlier request. Such answers
        are skipped, and the channel is not kept. An answer to a daemon's own call (a
        report, an order) may name no request. Raises ``Unavailable`` or
        ``ChannelClosed`` if nothing was sent, and ``AnswerLost`` once any byte may have
        been sent.
        """
        self._answer = None
        protocol = self._protocol
        transport = protocol.transport
        if transport is None or transport.is_closing():
            # What is written to a closing transport is dropped.
            raise ChannelClosed("channel closed before the request was sent")
        head_only = head.startswith(b"HEAD ")
        protocol.set_response_params(
            skip_payload=head_only,
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
        )

        def is_awaited(headers: MultiMapping[str]) -> bool:
            ids = read_answer_ids(headers)
            return request_id in ids or (is_own and "" in ids)

        protocol.start_exchange(is_awaited)
        self._exchanges += 1
        if not is_own:
            self._sent.add(hash(request_id))
        sent_at = self._loop.time()
        start = self._notices.start_send if is_own else self._notices.start_request
        trial = start(self._endpoint, sent_at)
        transport.write(head + body if body else head)
        try:
            answer = await self._read_head(head_only)
            for _ in range(MAX_SURPLUS_ANSWERS):
                matches = is_awaited(answer.headers)
                # An answer to an earlier request may be of any age.
                asked_at = sent_at if matches else NEVER
                self._apply_notice(answer, asked_at, from_request=not is_own)
                if matches:
                    self._answer = answer
                    self._stated_idle_time = read_idle_time(answer)
                    return answer
                protocol.force_close()
                await _skip_body(answer)
                answer = await self._read_head(head_only)
        except InvalidHead as error:
            raise self._make_invalid(str(error)) from error
        except (ClientError, EofStream, OSError, HttpProcessingError) as error:
            raise AnswerLost(repr(error)) from error
        finally:
            if trial:
                self._notices.end_trial(self._endpoint)
        raise AnswerLost(
            f"the first {MAX_SURPLUS_ANSWERS} answers were to other requests"
        )

    async def _read_head(self, head_only: bool) -> Answer:
        message, payload = await self._protocol.read()
        while 100 <= message.code < 200:
            message, payload = await self._protocol.read()
        if is_ignored(message, payload, head_only=head_only):
            raise AnswerLost("length of the body exceeds the parser's limit")
        ids = read_answer_ids(message.headers)
        if len(ids) > 1:
            raise self._make_invalid(f"ids of {len(ids)} requests")
        return Answer(
            status=message.code,
            reason=message.reason or "",
            headers=message.headers,
            raw_headers=message.raw_headers,
            body=payload,
            protocol=self._protocol,
            delimited=is_delimited(message, payload),
        )

    def _make_invalid(self, fault: str) -> AnswerInvalid:
        """Return the error for what came; its words are only logged."""
        log_decision(
            LOG, Decision.ANSWER_INVALID, endpoint=self._endpoint.id, fault=fault
        )
        return AnswerInvalid("no valid answer")

    def _apply_notice(
        self, answer: Answer, sent_at: Seconds, *, from_request: bool
    ) -> None:
        """Apply the notice that an answer contains about its endpoint.

        Answers of another endpoint at the same address, and those that are not genuine,
        are ignored. Only answers to ``from_request`` requests can be checked for being
        genuine.
        """
        instance = read_instance(answer.headers)
        if instance and instance != self._endpoint.id:
            return
        if from_request and not is_genuine(answer.status, answer.headers):
            return
        self._notices.unknown_signals.record(
            list_unrecognised(answer.status, answer.headers)
        )
        notice = read_notice(answer.status, answer.headers)
        self._notices.record(
            self._endpoint,
            notice,
            self._loop.time(),
            sent_at,
            from_request=from_request,
        )

    def apply_keep_alive(self, answer: Answer, now: Seconds) -> None:
        """Apply the idle time after which the endpoint closes the channel."""
        stated = read_idle_time(answer)
        timeout = stated - KEEP_ALIVE_MARGIN if stated else DEFAULT_IDLE_TIME
        self.usable_until = now + min(timeout, MAX_IDLE_TIMEOUT)
        self.open_until = self.usable_until

    def start_idle(self, rules: ChannelRules, now: Seconds) -> None:
        """Set until when the channel is kept: it is idle from the end of its answer."""
        period = rules.compute_idle_period(self._endpoint, self._stated_idle_time)
        self.idle_since = now
        self.usable_until = now + period.usable
        self.open_until = now + period.open
        self.learns = period.learns

    def record_end(self, rules: ChannelRules, now: Seconds) -> None:
        """Learn from an idle channel how long its endpoint leaves channels open."""
        if not self.learns:
            return
        idle_time = rules.idle_times[self._endpoint.service]
        lost_at = self._protocol.lost_at
        if lost_at is not None:
            idle_time.record_closed(lost_at - self.idle_since)
        elif self.reusable:
            idle_time.record_open(now - self.idle_since)

    @property
    def has_whole_failure(self) -> bool:
        """Return whether the last answer is an endpoint's complete error answer."""
        answer = self._answer
        return (
            answer is not None
            and answer.status >= MIN_FAILURE_STATUS
            and is_genuine(answer.status, answer.headers)
            and answer.body.at_eof()
        )

    def abort(self) -> None:
        """Close at once, dropping unsent bytes."""
        self._protocol.abort()

    @property
    def unsent(self) -> int:
        """Return the number of bytes of the request that the endpoint has not taken."""
        transport = self._protocol.transport
        return transport.get_write_buffer_size() if transport is not None else 0

    def resume(self) -> None:
        """Receive again, whether or not the last answer was paused."""
        self._protocol.set_held(False)

    def close(self) -> None:
        """Close after the written bytes have been sent."""
        self._protocol.close()
