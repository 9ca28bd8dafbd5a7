"""The headers of requests and answers that the platform defines."""

import math
import re
import reprlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from multidict import MultiMapping

from kestreltally.fleet.model import (
    EMPTY_NOTICE,
    Notice,
    OrganisationName,
    Seconds,
    WeightsKey,
)
from kestreltally.values import read_digits, read_text

MILLISECONDS: Final = 1000.0
MISDIRECTED: Final = 421
UNAVAILABLE: Final = 503

REQUEST_ID: Final = "X-Request-Id"
RETRY_AFTER: Final = "Retry-After"
LAST_EVENT_ID: Final = "Last-Event-Id"
_RESUMES: Final = "Resumes"
_DEADLINE: Final = "X-Deadline-Milliseconds"
_MODEL: Final = "X-Model-Name"
_TOKENS: Final = "X-Token-Counts"
_PREFIX: Final = "X-Prompt-Prefix"
_EXPECT_INSTANCE: Final = "X-Expect-Instance"
_EXPECT_VERSION: Final = "X-Expect-Version"
_ANSWER_VERSION: Final = "X-Weight-Versions"
_PRIORITY: Final = "X-Request-Priority"
_NOT_RUN: Final = "X-Not-Run"
_INSTANCE: Final = "X-Instance-Id"
_KEY: Final = "X-Credential"
_ORGANISATION: Final = "X-Tenant-Name"
_LEAVING: Final = "Server-Leaving"
_LEAVING_VALUE: Final = "1"
_LIMIT: Final = "Server-Limit"
_BRITTLE: Final = "Server-Brittle"
# The prefix of answer headers in which endpoints describe themselves, and those of them
# that are understood.
_SERVER_PREFIX: Final = "server-"
_SERVER_PREFIX_INITIALS: Final = "sS"
_KNOWN_SERVER_HEADERS: Final = frozenset(
    {_LEAVING.lower(), _LIMIT.lower(), _BRITTLE.lower()}
)
# A time in seconds or a rate per second, with an optional fraction. Signs, exponents
# and dates are not accepted: the platform does not use dates, and clock jumps would
# distort them.
_DECIMAL: Final = re.compile(r"[0-9]{1,12}(?:\.[0-9]{0,12})?")
# No endpoint runs longer than this; the limit bounds the effect of a wrong value.
MAX_BACKOFF: Final[Seconds] = 3600.0

# These headers are removed from clients' requests: only the system may set them, and a
# key must not be forwarded.
SYSTEM_HEADERS: Final = frozenset(
    {
        "x-expect-instance",
        "x-expect-version",
        "x-request-priority",
        "x-hold",
        "x-pin-milliseconds",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
        "x-deadline-milliseconds",
        _KEY.lower(),
        _ORGANISATION.lower(),
    }
)


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share; the last is the request's own."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The data in a request's headers; ``deadline`` is how long the client waits.

    A request that ``resumes`` takes a stream up after the last event that its client
    has; ``resumed`` is the id of the request that brought the first one, if named.
    """

    id: str
    deadline: Seconds | None
    weights: WeightsKey | None
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]
    resumes: bool
    resumed: str = ""

    @property
    def tokens(self) -> int:
        """Return the maximum of input plus output tokens; 0 if not specified."""
        return self.prompt_tokens + self.output_tokens


def decode_request(headers: MultiMapping[str]) -> RequestHead:
    """Decode a request's headers; raises ``ValueError`` that names the invalid one."""
    deadline = headers.get(_DEADLINE)
    prompt, output = _read_tokens(headers.get(_TOKENS))
    return RequestHead(
        id=read_request_id(headers),
        deadline=_read_number(_DEADLINE, deadline) / MILLISECONDS if deadline else None,
        weights=_read_model(headers.get(_MODEL)),
        prompt_tokens=prompt,
        output_tokens=output,
        parts=_read_parts(headers.get(_PREFIX)),
        resumes=LAST_EVENT_ID in headers,
        resumed=_read_resumed(headers),
    )


def _read_resumed(headers: MultiMapping[str]) -> str:
    """Return the id of the request that began a stream, or an empty string."""
    named = {each.strip() for each in headers.getall(_RESUMES, [])}
    if len(named) > 1:
        raise ValueError(f"{_RESUMES}: {len(named)} different requests")
    return named.pop() if named else ""


def _read_number(name: str, text: str) -> float:
    try:
        number = float(text)
    except ValueError as error:
        raise ValueError(f"{name}: {reprlib.repr(text)} is not a number") from error
    if not math.isfinite(number):
        raise ValueError(f"{name}: {reprlib.repr(text)} is not finite")
    return number


def _read_model(text: str | None) -> WeightsKey | None:
    if not text:
        return None
    try:
        model, _, adapter = read_text(text).partition("/")
    except ValueError as error:
        raise ValueError(f"{_MODEL}: {reprlib.repr(text)} is not a name") from error
    return WeightsKey(model, adapter)


def _read_tokens(text: str | None) -> tuple[int, int]:
    if not text:
        return 0, 0
    prompt, _, output = text.partition(",")
    try:
        return read_digits(prompt.strip()), read_digits(output.strip() or "0")
    except ValueError as error:
        raise ValueError(
            f"{_TOKENS}: {reprlib.repr(text)} is not two numbers"
        ) from error


def _read_parts(text: str | None) -> tuple[PromptPart, ...]:
    if not text:
        return ()
    parts = []
    for item in text.split(","):
        name, _, tokens = item.strip().partition(":")
        parts.append(PromptPart(name, _read_part_tokens(tokens)))
    return tuple(parts)


def _read_part_tokens(text: str) -> int:
    """Return the number of tokens of a part, 0 if it is not stated as a count."""
    try:
        return read_digits(text)
    except ValueError:
        return 0


def read_keys(headers: MultiMapping[str]) -> list[str]:
    """Return the keys that a client presents; normally there is exactly one."""
    return headers.getall(_KEY, [])


def encode_request(
    remaining: Seconds,
    instance: str,
    priority: int | None,
    version: int | None,
    organisation: OrganisationName | None = None,
) -> Iterable[tuple[str, str]]:
    """Yield the headers that the system sets on a request to an endpoint."""
    yield encode_deadline(remaining)
    yield _EXPECT_INSTANCE, instance
    if priority is not None:
        yield _PRIORITY, str(min(9, max(0, priority)))
    if version is not None:
        yield _EXPECT_VERSION, str(version)
    if organisation is not None:
        yield _ORGANISATION, organisation


def encode_deadline(remaining: Seconds) -> tuple[str, str]:
    """Return the header that tells how long an answer is waited for."""
    return _DEADLINE, str(max(1, int(remaining * MILLISECONDS)))


def says_not_run(headers: Mapping[str, str]) -> bool:
    """Return whether an endpoint states that the request did not run."""
    return _NOT_RUN in headers


def read_notice(status: int, headers: MultiMapping[str]) -> Notice:
    """Return the notice that an answer contains about its endpoint.

    Of several backoff times the longest applies, and of several limits the lowest.
    Values that are not numbers are ignored, but a brittle endpoint stays brittle.
    """
    leaving = headers.get(_LEAVING, "").strip() == _LEAVING_VALUE
    limit_values = headers.getall(_LIMIT, [])
    brittle_values = headers.getall(_BRITTLE, [])
    if not (leaving or limit_values or brittle_values or status == UNAVAILABLE):
        return EMPTY_NOTICE
    backoff = 0.0
    if status == UNAVAILABLE:
        times = _read_decimals(headers.getall(RETRY_AFTER, []))
        backoff = min(MAX_BACKOFF, max(times, default=0.0))
    limit = min(_read_decimals(limit_values), default=None)
    return Notice(
        leaving,
        backoff,
        limit,
        malformed=bool(limit_values) and limit is None,
        rejects=status == UNAVAILABLE and _NOT_RUN in headers and not backoff,
        brittle=_read_brittle(brittle_values),
    )


def _read_brittle(values: list[str]) -> float | None:
    """Return how many rejections a second an endpoint bears, None if unlimited."""
    if not values:
        return None
    return min(_read_decimals(values), default=0.0)


def list_unrecognised(status: int, headers: Mapping[str, str]) -> list[str]:
    """Return the parts of an endpoint's answer that are not understood.

    These are unknown headers in which endpoints describe themselves, and a status
    without a defined meaning.
    """
    server_headers = [
        name.lower() for name in headers if name[:1] in _SERVER_PREFIX_INITIALS
    ]
    unrecognised = [
        each
        for each in server_headers
        if each.startswith(_SERVER_PREFIX) and each not in _KNOWN_SERVER_HEADERS
    ]
    if not (200 <= status < 300 or 400 <= status < 600):
        unrecognised.append(f"status {status}")
    return unrecognised


def _read_decimals(values: Iterable[str]) -> list[float]:
    """Return the decimal numbers in header values, each a comma-separated list."""
    texts = [part.strip() for value in values for part in value.split(",")]
    return [float(text) for text in texts if _DECIMAL.fullmatch(text)]


def read_request_id(headers: Mapping[str, str]) -> str:
    """Return the id that a client assigned to its request, or an empty string."""
    return headers.get(REQUEST_ID, "")


def read_answer_ids(headers: MultiMapping[str]) -> frozenset[str]:
    """Return the ids of the requests that an answer names, an empty one if none."""
    return frozenset(headers.getall(REQUEST_ID, ("",)))


def read_answer_version(headers: Mapping[str, str]) -> str:
    """Return the version of the weights that an answer names, or an empty string."""
    return headers.get(_ANSWER_VERSION, "")


def read_instance(headers: Mapping[str, str]) -> str:
    """Return the id of the endpoint that answered a health check or refused."""
    return headers.get(_INSTANCE, "")


def encode_retry_after(delay: Seconds) -> str:
    """Return the value of ``Retry-After``; fractions of seconds are allowed."""
    return f"{max(0.0, delay):.2f}"


def is_genuine(status: int, headers: Mapping[str, str]) -> bool:
    """Return whether an answer has the form that endpoints produce.

    A successful answer carries its endpoint's stamp. No body is encoded, because
    clients request bodies without content encoding.
    """
    if "Content-Encoding" in headers:
        return False
    return status >= 300 or "X-Server-Stamp" in headers
