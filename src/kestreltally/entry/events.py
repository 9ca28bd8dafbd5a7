"""Server-sent event streams: forwards complete events only, and none twice."""

import re
from typing import Final

_END: Final = re.compile(rb"\r?\n\r?\n")
_ID: Final = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
# Other events are comments or blank lines.
_FIELD: Final = re.compile(rb"^(?:data|id|event)\b", re.MULTILINE)
# An event holds a few tokens in some hundred bytes; more than this is not an event.
MAX_EVENT_BYTES: Final = 2**18
# So many bytes of comments and blank lines may come between two events.
MAX_BYTES_BETWEEN_EVENTS: Final = 2**16


class EventTooLong(ValueError):
    """The received bytes are not an event stream."""


def has_event(content: bytes) -> bool:
    """Return whether any of some complete events is more than a comment."""
    return _FIELD.search(content) is not None


class EventReader:
    """Splits bytes into events and drops those that were already forwarded.

    ``last_id`` is the id of the last forwarded event; ids increase within a stream.
    ``count`` is the number of events, old ones included.
    """

    def __init__(self, last_id: str | None = None) -> None:
        self._partial = b""
        self.last_id = last_id
        self.count = 0
        self._bytes_between = 0

    @property
    def has_partial_event(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._partial.strip())

    def feed(self, content: bytes) -> bytes:
        """Add received bytes; return the events that they complete."""
        data = self._partial + content
        events = bytearray()
        start = 0
        for end in _END.finditer(data):
            event = data[start : end.end()]
            start = end.end()
            self.count += 1
            self._check_content(event)
            if self._is_new(event):
                events += event
        self._partial = data[start:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventTooLong(
                f"{len(self._partial)} bytes without end of event, "
                f"limit {MAX_EVENT_BYTES}"
            )
        return bytes(events)

    def _check_content(self, event: bytes) -> None:
        """Raise ``EventTooLong`` for too many bytes without an event."""
        if _FIELD.search(event) is not None:
            self._bytes_between = 0
            return
        self._bytes_between += len(event)
        if self._bytes_between > MAX_BYTES_BETWEEN_EVENTS:
            raise EventTooLong(
                f"{self._bytes_between} bytes between two events, "
                f"limit {MAX_BYTES_BETWEEN_EVENTS}"
            )

    def _is_new(self, event: bytes) -> bool:
        found = _ID.search(event)
        if found is None:
            return True
        identifier = found[1].decode("utf-8", "replace").strip()
        if self.last_id is not None and _is_not_after(identifier, self.last_id):
            return False
        self.last_id = identifier
        return True


def _is_not_after(identifier: str, last: str) -> bool:
    if _is_number(identifier) and _is_number(last):
        return _rank_number(identifier) <= _rank_number(last)
    return identifier == last


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit()


def _rank_number(digits: str) -> tuple[int, str]:
    """Return a key that orders numbers of any length."""
    significant = digits.lstrip("0")
    return len(significant), significant
