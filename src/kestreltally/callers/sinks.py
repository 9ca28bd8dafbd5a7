"""Sinks of answers: a streamed HTTP response, or a buffered JSON body."""

from typing import Any, Final

import msgspec
from aiohttp import web

from kestreltally.ports import AnswerHead
from kestreltally.requests.outcomes import Refusal
from kestreltally.requests.relay import END_MARK, EVENT_END, AnswerEvent, parse_events

STREAM_HEADERS: Final = {
    "Content-Type": "text/event-stream",
    "Cache-Control": "no-cache",
}
DROPPED_HEADERS: Final = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "transfer-encoding",
        "date",
        "server",
    }
)
HEADER_REQUEST: Final = "X-Request-Id"
HEADER_ADAPTER: Final = "X-Adapter-Version"


def describe_refusal(refusal: Refusal, request: str) -> dict[str, Any]:
    """Return the JSON form of a refusal."""
    error: dict[str, Any] = {
        "type": refusal.reason.value,
        "outcome": refusal.outcome.value,
        "message": refusal.message,
        "request_id": request,
    }
    if refusal.retry_after > 0:
        error["retry_after"] = round(refusal.retry_after, 3)
    return {"error": error}


class StreamSink:
    """Streams an answer to the caller as it arrives."""

    is_buffered = False

    def __init__(self, http: web.Request, request: str) -> None:
        self._http = http
        self._request = request
        self.response: web.StreamResponse | None = None

    async def start(self, head: AnswerHead) -> None:
        """Send the status and headers of the response."""
        headers = {HEADER_REQUEST: self._request, **STREAM_HEADERS}
        if head.headers is not None:
            forwarded = {
                name: value
                for name, value in head.headers.items()
                if name.lower() not in DROPPED_HEADERS
            }
            headers = {**forwarded, HEADER_REQUEST: self._request}
        else:
            headers[HEADER_ADAPTER] = head.adapter
        self.response = web.StreamResponse(status=head.status, headers=headers)
        await self.response.prepare(self._http)

    async def send(self, data: bytes) -> None:
        """Send bytes; wait while the caller does not read."""
        assert self.response is not None
        await self.response.write(data)

    def discard(self) -> None:
        """Do nothing: a stream buffers no bytes."""

    async def finish(self, with_end_mark: bool) -> web.StreamResponse:
        """End a complete answer."""
        assert self.response is not None
        if with_end_mark:
            await self.response.write(END_MARK + EVENT_END)
        await self.response.write_eof()
        return self.response

    async def abort(self, refusal: Refusal, as_event: bool) -> web.StreamResponse:
        """End an incomplete answer so that the caller can detect it.

        Sends an error event with ``as_event``, else aborts the connection.
        """
        assert self.response is not None
        if as_event:
            error = msgspec.json.encode(describe_refusal(refusal, self._request))
            await self.response.write(b"data: " + error + EVENT_END)
            await self.response.write_eof()
        elif self._http.transport is not None:
            self._http.transport.abort()
        return self.response


class BufferedSink:
    """Buffers an answer until it is complete."""

    is_buffered = True

    def __init__(self) -> None:
        self._chunks: list[bytes] = []
        self.head: AnswerHead | None = None

    async def start(self, head: AnswerHead) -> None:
        """Store the status and headers."""
        self.head = head

    async def send(self, data: bytes) -> None:
        """Buffer bytes."""
        self._chunks.append(data)

    def discard(self) -> None:
        """Discard the buffered bytes."""
        self._chunks.clear()

    def compose(self, request: str, chat: bool) -> dict[str, Any]:
        """Return the complete answer in the usual JSON form of model servers."""
        events = parse_events(b"".join(self._chunks))
        text = "".join(_get_text(event) for event in events)
        ids = [id_ for event in events for c in event.choices for id_ in c.token_ids]
        reasons = [c.finish_reason for event in events for c in event.choices]
        finish = next((reason for reason in reversed(reasons) if reason), "stop")
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish}
        if chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {
            "id": request,
            "object": "chat.completion" if chat else "text_completion",
            "model": events[0].model if events else "",
            "choices": [choice],
            "usage": {"completion_tokens": len(ids)},
        }


def _get_text(event: AnswerEvent) -> str:
    return "".join(
        choice.text + choice.delta.get("content", "") for choice in event.choices
    )
