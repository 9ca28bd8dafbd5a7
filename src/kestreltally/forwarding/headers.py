"""The headers that daemons add to a request that one passes on to another."""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Final
from urllib.parse import quote, unquote

from kestreltally.fleet.model import (
    OrganisationName,
    Seconds,
    ServiceName,
    SoftwareVersion,
)
from kestreltally.streams.origins import StreamOrigin

_PREFIX: Final = "x-kestreltally-"
_CONTEXT: Final = "X-Kestreltally-Context"
_REFUSAL: Final = "X-Kestreltally-Refusal"
_SEND: Final = "X-Kestreltally-Send"


@dataclass(frozen=True, slots=True)
class ForwardedContext:
    """What a daemon tells another about a request that it passes on.

    The request may run on ``attempts`` endpoints. It came ``age`` ago, and was admitted
    by a configuration of ``version`` or later, whose keys had been confirmed
    ``key_age`` ago. ``organisation`` is None where no key is needed. ``origin`` is
    where a stream began of which the client has events, if the sender knows.
    """

    organisation: OrganisationName | None
    attempts: int
    version: int
    age: Seconds
    key_age: Seconds
    origin: StreamOrigin | None = None


@dataclass(frozen=True, slots=True)
class ForwardRefusal:
    """A daemon's refusal of a request that was passed on to it and has not run.

    ``elsewhere``: this daemon cannot serve it, but others may.
    """

    status: int
    reason: str
    retry_after: Seconds | None
    elsewhere: bool


def is_internal(name: str) -> bool:
    """Return whether only daemons may set a header."""
    return name.lower().startswith(_PREFIX)


def encode_context(context: ForwardedContext) -> tuple[str, str]:
    """Return the header of a request that is passed on."""
    organisation = context.organisation
    fields: dict[str, Any] = {
        "organisation": quote(organisation) if organisation is not None else None,
        "attempts": context.attempts,
        "version": context.version,
        "age": round(context.age, 4),
        "key_age": round(context.key_age, 4),
    }
    if context.origin is not None:
        fields["service"] = quote(context.origin.service)
        fields["software"] = quote(context.origin.software)
    return _CONTEXT, json.dumps(fields)


def decode_context(headers: Mapping[str, str]) -> ForwardedContext:
    """Decode the header of a request that was passed on; raises ``ValueError``."""
    try:
        fields = json.loads(headers[_CONTEXT])
        organisation = fields["organisation"]
        return ForwardedContext(
            organisation=(
                OrganisationName(unquote(organisation))
                if organisation is not None
                else None
            ),
            attempts=int(fields["attempts"]),
            version=int(fields["version"]),
            age=float(fields["age"]),
            key_age=float(fields["key_age"]),
            origin=_decode_origin(fields),
        )
    except (KeyError, RecursionError, TypeError) as error:
        raise ValueError(f"{_CONTEXT}: {error!r}") from error


def _decode_origin(fields: Mapping[str, Any]) -> StreamOrigin | None:
    service, software = fields.get("service"), fields.get("software")
    if service is None or software is None:
        return None
    return StreamOrigin(
        ServiceName(unquote(service)), SoftwareVersion(unquote(software))
    )


def encode_refusal(refusal: ForwardRefusal) -> Iterable[tuple[str, str]]:
    """Yield the header of a refusal of a request that was passed on."""
    fields = {
        "status": refusal.status,
        "reason": refusal.reason,
        "retry_after": refusal.retry_after,
        "elsewhere": refusal.elsewhere,
    }
    yield _REFUSAL, json.dumps(fields)


def decode_refusal(headers: Mapping[str, str]) -> ForwardRefusal | None:
    """Return the refusal that an answer is, None if it is none.

    Raises ``ValueError``.
    """
    text = headers.get(_REFUSAL)
    if text is None:
        return None
    try:
        return ForwardRefusal(**json.loads(text))
    except (RecursionError, TypeError) as error:
        raise ValueError(f"{_REFUSAL}: {error!r}") from error


def encode_send(send_id: str) -> tuple[str, str]:
    """Return the header that tells one send of a request from all others."""
    return _SEND, send_id


def read_send(headers: Mapping[str, str]) -> str:
    """Return which send a request is, or an answer is to; empty if it is not named."""
    return headers.get(_SEND, "")
