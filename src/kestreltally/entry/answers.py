"""Builds answers to clients: endpoint answers unchanged, and this daemon's refusals."""

import json
from typing import Final

from aiohttp import HttpVersion11, web
from multidict import CIMultiDict

from kestreltally.entry.refusals import Refusal
from kestreltally.entry.request import HOP_BY_HOP_HEADERS
from kestreltally.entry.undelimited import UndelimitedResponse
from kestreltally.entry.upstream import Answer
from kestreltally.forwarding.headers import is_internal
from kestreltally.platform.headers import (
    REQUEST_ID,
    RETRY_AFTER,
    encode_retry_after,
)

# The endpoint's Date and Server headers are kept; aiohttp adds them if missing.
_DROPPED: Final = HOP_BY_HOP_HEADERS


def copy_headers(answer: Answer) -> CIMultiDict[str]:
    """Return an answer's headers without hop-by-hop headers and those of daemons."""
    headers: CIMultiDict[str] = CIMultiDict()
    for raw_name, raw_value in answer.raw_headers:
        name = raw_name.decode("latin-1")
        if name.lower() not in _DROPPED and not is_internal(name):
            headers.add(name, raw_value.decode("utf-8", "surrogateescape"))
    return headers


def make_buffered_answer(answer: Answer, body: bytes) -> web.Response:
    """Return an endpoint's answer with a complete body."""
    return web.Response(
        status=answer.status,
        reason=answer.reason or None,
        headers=copy_headers(answer),
        body=body,
    )


def make_streamed_answer(answer: Answer, client: web.BaseRequest) -> web.StreamResponse:
    """Return an endpoint's answer with a body that is streamed.

    It claims a definite end only if the endpoint's answer has one.
    """
    chunked = answer.delimited and client.version >= HttpVersion11
    make = web.StreamResponse if chunked else UndelimitedResponse
    response = make(
        status=answer.status,
        reason=answer.reason or None,
        headers=copy_headers(answer),
    )
    if chunked:
        response.enable_chunked_encoding()
    return response


def make_refusal(refusal: Refusal, request_id: str) -> web.Response:
    """Return this daemon's refusal, with ``Retry-After`` if a time is given."""
    headers = CIMultiDict({REQUEST_ID: request_id} if request_id else {})
    if refusal.retry_after is not None:
        headers[RETRY_AFTER] = encode_retry_after(refusal.retry_after)
    return web.Response(
        status=refusal.status,
        headers=headers,
        body=json.dumps({"error": refusal.reason}).encode(),
        content_type="application/json",
    )
