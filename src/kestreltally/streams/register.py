"""The origins of streams that this daemon began, or keeps for others."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Final

from kestreltally.fleet.model import Seconds
from kestreltally.streams.names import StreamName
from kestreltally.streams.origins import StreamOrigin

# The oldest streams are forgotten beyond this: about 20 MB.
MAX_STREAMS: Final = 100_000


@dataclass(frozen=True, slots=True)
class KnownStream:
    """A stream's origin, and until when the stream may be taken up.

    ``origin`` is None if two streams of different origins have the same name.
    """

    name: StreamName
    origin: StreamOrigin | None
    expires_at: Seconds


class StreamRegister:
    """Bounded records of streams, by name.

    Those that this daemon began and has told nobody of are ``untold``.
    """

    def __init__(self, limit: int = MAX_STREAMS) -> None:
        self._limit = limit
        self._known: dict[StreamName, KnownStream] = {}
        self._untold: dict[StreamName, KnownStream] = {}

    def record(self, stream: KnownStream, *, untold: bool = False) -> None:
        """Record a stream; of one that is known, only that its origin differs."""
        before = self._known.get(stream.name)
        if before is not None and before.origin != stream.origin:
            stream = replace(before, origin=None)
        elif before is not None:
            return
        self._known[stream.name] = stream
        if untold:
            self._untold[stream.name] = stream
        if len(self._known) > self._limit:
            oldest = next(iter(self._known))
            del self._known[oldest]
            self._untold.pop(oldest, None)

    def find(self, name: StreamName, now: Seconds) -> KnownStream | None:
        """Return a stream, None if it is not known or too old."""
        known = self._known.get(name)
        if known is None or known.expires_at <= now:
            return None
        return known

    def list_all(self) -> Iterator[KnownStream]:
        """Yield all streams, from the first one recorded on."""
        return iter(list(self._known.values()))

    def list_untold(self) -> Iterator[KnownStream]:
        """Yield the streams that this daemon began and has told nobody of."""
        return iter(list(self._untold.values()))

    def record_told(self, name: StreamName) -> None:
        """Record that other daemons have been told of a stream."""
        self._untold.pop(name, None)

    def prune(self, now: Seconds) -> None:
        """Forget streams that are too old, from the oldest one on."""
        while self._known:
            stream = next(iter(self._known.values()))
            if stream.expires_at > now:
                return
            del self._known[stream.name]
            self._untold.pop(stream.name, None)

    def __len__(self) -> int:
        return len(self._known)
