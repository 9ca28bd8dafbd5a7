"""Parser of one streamed answer: passes on complete events of the right adapter.

The answer consists of server-sent events (WHATWG HTML standard), and ends with
``data: [DONE]``, as is usual for model servers. This module does no I/O.
"""

from typing import Final

import msgspec

from kestreltally.entities.ids import AdapterVersion
from kestreltally.ports import AttemptLost

EVENT_END: Final = b"\n\n"
DATA_PREFIX: Final = b"data: "
END_MARK: Final = b"data: [DONE]"
MAX_BUFFERED_BYTES: Final = 1_000_000


class AdapterMismatch(AttemptLost):
    """An event names another adapter or version than the requested one."""


class Choice(msgspec.Struct, frozen=True):
    """One choice of an event, in completion or chat form."""

    text: str = ""
    token_ids: list[int] = []
    delta: dict[str, str] = {}
    finish_reason: str | None = None


class AnswerEvent(msgspec.Struct, frozen=True):
    """One event of a streamed answer."""

    model: str
    choices: list[Choice] = []


def parse_events(data: bytes) -> list[AnswerEvent]:
    """Return the events in ``data``; raises ``AttemptLost`` if one is malformed."""
    events = []
    for part in data.split(EVENT_END):
        if not part.startswith(DATA_PREFIX) or part.startswith(END_MARK):
            continue
        try:
            events.append(
                msgspec.json.decode(part[len(DATA_PREFIX) :], type=AnswerEvent)
            )
        except (msgspec.MsgspecError, RecursionError) as error:
            raise AttemptLost(f"malformed event: {error}") from error
    return events


class Relay:
    """The state of one answer that is being received."""

    def __init__(self, adapter: AdapterVersion) -> None:
        self._name = str(adapter)
        self._model_field = f'"model":"{adapter}"'.encode()
        self._partial_event = b""
        self._buffered: list[bytes] = []
        self._delivered_bytes = 0
        self.ended = False

    def feed(self, data: bytes) -> bytes:
        """Return the events completed by ``data``, without the end mark.

        Raises ``AdapterMismatch`` before any byte of a mismatched event is returned,
        and ``AttemptLost`` for any data after the end mark.
        """
        if self.ended:
            if data.strip():
                raise AttemptLost("data received after the [DONE] event")
            return b""
        data = self._partial_event + data if self._partial_event else data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._partial_event = data
            return b""
        events, self._partial_event = data[: end + 2], data[end + 2 :]
        events = self._strip_end_mark(events)
        if events:
            self._check_adapter(events)
            self._buffer(events)
        return events

    def _strip_end_mark(self, events: bytes) -> bytes:
        at = events.rfind(END_MARK)
        if at < 0:
            return events
        if events[at + len(END_MARK) :].strip() or self._partial_event.strip():
            raise AttemptLost("data received after the [DONE] event")
        self.ended = True
        return events[:at]

    def _check_adapter(self, events: bytes) -> None:
        """Check the adapter of each event.

        Counting the expected model fields is enough for the usual JSON spacing; the
        events are only parsed if the count differs.
        """
        if events.count(self._model_field) == events.count(EVENT_END):
            return
        for event in parse_events(events):
            if event.model != self._name:
                raise AdapterMismatch(
                    f"event from {event.model}, expected {self._name}"
                )

    def _buffer(self, events: bytes) -> None:
        self._delivered_bytes += len(events)
        if self._delivered_bytes <= MAX_BUFFERED_BYTES:
            self._buffered.append(events)

    @property
    def delivered(self) -> bool:
        """Return whether any event has been passed on."""
        return self._delivered_bytes > 0

    def list_token_ids(self) -> tuple[int, ...] | None:
        """Return the token ids passed on, or None if they are not known."""
        if self._delivered_bytes > MAX_BUFFERED_BYTES:
            return None
        ids: list[int] = []
        for event in parse_events(b"".join(self._buffered)):
            for choice in event.choices:
                if (
                    choice.text or choice.delta.get("content")
                ) and not choice.token_ids:
                    return None
                ids.extend(choice.token_ids)
        return tuple(ids)
