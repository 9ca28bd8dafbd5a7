"""The record of streams' origins that a leader keeps in the store.

It outlives the end of all daemons at once, after which no daemon knows a stream. Where
a stream began does not change, so a record that is outdated, or back from a backup,
lacks streams but names none wrongly.
"""

from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Final

from kestreltally.fleet.model import Seconds, ServiceName
from kestreltally.knowledge.leader_record import decode_software
from kestreltally.streams.names import NAME_BYTES, StreamName
from kestreltally.streams.origins import StreamOrigin
from kestreltally.streams.register import KnownStream
from kestreltally.streams.versions import MAX_STREAM_LIFE
from kestreltally.values import FORMAT_ERRORS, MalformedRecord, describe_error

# Bounds one write to about 16 KB; the oldest streams are left out.
MAX_KEPT_STREAMS: Final = 1_024
# Bounds the calls of the store while several versions serve.
MIN_WRITE_INTERVAL: Final[Seconds] = 1.0

Origins = Mapping[StreamName, StreamOrigin]


@dataclass(frozen=True, slots=True)
class OriginRecord:
    """The origins of streams that clients may take up."""

    origins: Origins

    def encode(self) -> dict[str, Any]:
        """Return the content of the store's object: the names, by origin."""
        names: dict[StreamOrigin, list[StreamName]] = defaultdict(list)
        for name, origin in self.origins.items():
            names[origin].append(name)
        rows = [
            [each.service, each.software, b64encode(b"".join(names[each])).decode()]
            for each in names
        ]
        return {"streams": rows}

    @classmethod
    def decode(cls, content: Any) -> "OriginRecord":
        """Return the record of an object; raises ``MalformedRecord``.

        A name that stands there with two origins is left out.
        """
        rows = content.get("streams") if isinstance(content, dict) else None
        if not isinstance(rows, list):
            raise MalformedRecord("streams is not a list")
        origins: dict[StreamName, StreamOrigin] = {}
        contradicted: set[StreamName] = set()
        for row in rows:
            origin, names = _decode_row(row)
            for name in names:
                if origins.setdefault(name, origin) != origin:
                    contradicted.add(name)
        return cls({k: v for k, v in origins.items() if k not in contradicted})


@dataclass(frozen=True, slots=True)
class KeepingState:
    """What decides whether a leader writes the record, and which streams are in it.

    ``mixed`` are the services of which several versions are known, and ``stored`` is
    what the store holds, None if nothing. ``streams`` are ordered by age.
    """

    streams: tuple[KnownStream, ...]
    mixed: frozenset[ServiceName]
    stored: OriginRecord | None
    knows_all_versions: bool
    since_write: Seconds


def choose_record(state: KeepingState, now: Seconds) -> OriginRecord | None:
    """Return the record to write now, None if nothing is to be written.

    Nothing is written on a day without a release. After one, the streams are removed
    in one call, once no version of before can be missing.
    """
    if state.since_write < MIN_WRITE_INTERVAL:
        return None
    if not state.mixed and not state.knows_all_versions:
        return None
    record = OriginRecord(
        {
            each.name: each.origin
            for each in _list_kept(state.streams, state.mixed, now)
            if each.origin is not None
        }
    )
    stored = state.stored or OriginRecord({})
    return record if record != stored else None


def _list_kept(
    streams: Iterable[KnownStream], mixed: frozenset[ServiceName], now: Seconds
) -> list[KnownStream]:
    kept = [
        each
        for each in streams
        if each.origin is not None
        and each.origin.service in mixed
        and each.expires_at > now
    ]
    return kept[-MAX_KEPT_STREAMS:]


def list_streams(record: OriginRecord, now: Seconds) -> list[KnownStream]:
    """Return the streams of a record that was read now."""
    return [
        KnownStream(name, origin, now + MAX_STREAM_LIFE)
        for name, origin in record.origins.items()
    ]


def _decode_row(row: Any) -> tuple[StreamOrigin, list[StreamName]]:
    try:
        service, software, encoded = row
        origin = StreamOrigin(*decode_software(service, software))
        names = b64decode(encoded, validate=True)
    except (Base64Error, *FORMAT_ERRORS) as error:
        raise MalformedRecord(f"streams: {describe_error(error)}") from error
    if len(names) % NAME_BYTES:
        raise MalformedRecord(f"names of streams have {len(names)} bytes")
    return origin, [
        StreamName(names[start : start + NAME_BYTES])
        for start in range(0, len(names), NAME_BYTES)
    ]
