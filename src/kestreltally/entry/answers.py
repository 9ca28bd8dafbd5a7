"""Answers to clients: those of endpoints as they came, and refusals of our own."""

import json
from typing import Final

from aiohttp import web
from multidict import CIMultiDict

from kestreltally.entry.request import HOP_BY_HOP_HEADERS, Refused
from kestreltally.entry.upstream import Answer
from kestreltally.platform.headers import (
    REQUEST_ID,
    RETRY_AFTER,
    encode_retry_after,
)

# The endpoint's Date and Server headers pass; aiohttp adds them where they miss.
_DROPPED: Final = HOP_BY_HOP_HEADERS


def copy_headers(answer: Answer) -> CIMultiDict[str]:
    """Return an answer's headers without those of its connection."""
    headers: CIMultiDict[str] = CIMultiDict()
    for raw_name, raw_value in answer.raw_headers:
        name = raw_name.decode("latin-1")
        if name.lower() not in _DROPPED:
            headers.add(name, raw_value.decode("utf-8", "surrogateescape"))
    return headers


def make_buffered_answer(answer: Answer, body: bytes) -> web.Response:
    """Return an endpoint's answer whose body has come whole."""
    return web.Response(
        status=answer.status,
        reason=answer.reason or None,
        headers=copy_headers(answer),
        body=body,
    )


def make_streamed_answer(answer: Answer) -> web.StreamResponse:
    """Return an endpoint's answer whose body follows in pieces."""
    response = web.StreamResponse(
        status=answer.status,
        reason=answer.reason or None,
        headers=copy_headers(answer),
    )
    response.enable_chunked_encoding()
    return response


def make_refusal(refused: Refused, request_id: str) -> web.Response:
    """Return a refusal of our own, with a time to come back where there is one."""
    headers = CIMultiDict({REQUEST_ID: request_id} if request_id else {})
    if refused.retry_after is not None:
        headers[RETRY_AFTER] = encode_retry_after(refused.retry_after)
    return web.Response(
        status=refused.status,
        headers=headers,
        body=json.dumps({"error": refused.reason}).encode(),
        content_type="application/json",
    )
