"""Follow one streamed answer: whole events only, rightly named, to its end mark.

Server-sent events as in the WHATWG HTML standard, with the model servers' usual
``data: [DONE]`` as the end mark. No input or output here.
"""

from typing import Final

import msgspec

from kestreltally.entities.ids import AdapterVersion
from kestreltally.ports import AttemptLost

EVENT_END: Final = b"\n\n"
DATA: Final = b"data: "
END_MARK: Final = b"data: [DONE]"
KEPT_BYTES: Final = 1_000_000


class WronglyNamed(AttemptLost):
    """An event names another adapter or version than the one asked for."""


class Choice(msgspec.Struct, frozen=True):
    """One choice of an event, of either of the two usual forms."""

    text: str = ""
    token_ids: list[int] = []
    delta: dict[str, str] = {}
    finish_reason: str | None = None


class AnswerEvent(msgspec.Struct, frozen=True):
    """One event of a streamed answer."""

    model: str
    choices: list[Choice] = []


def read_events(data: bytes) -> list[AnswerEvent]:
    """Return the events in whole bytes; raises ``AttemptLost`` if unreadable."""
    events = []
    for part in data.split(EVENT_END):
        if not part.startswith(DATA) or part.startswith(END_MARK):
            continue
        try:
            events.append(msgspec.json.decode(part[len(DATA) :], type=AnswerEvent))
        except msgspec.MsgspecError as error:
            raise AttemptLost(f"an event cannot be read: {error}") from error
    return events


class Relay:
    """The state of one answer under way."""

    def __init__(self, adapter: AdapterVersion) -> None:
        self._name = str(adapter)
        self._mark = f'"model":"{adapter}"'.encode()
        self._tail = b""
        self._kept: list[bytes] = []
        self._kept_bytes = 0
        self.ended = False

    def feed(self, data: bytes) -> bytes:
        """Return the whole events in ``data``, without the end mark.

        Raises ``WronglyNamed`` before any byte of a wrong event is returned, and
        ``AttemptLost`` for anything after the end mark.
        """
        if self.ended:
            if data.strip():
                raise AttemptLost("bytes came after the end mark")
            return b""
        data = self._tail + data if self._tail else data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._tail = data
            return b""
        whole, self._tail = data[: end + 2], data[end + 2 :]
        whole = self._cut_end_mark(whole)
        if whole:
            self._check_names(whole)
            self._keep(whole)
        return whole

    def _cut_end_mark(self, whole: bytes) -> bytes:
        at = whole.rfind(END_MARK)
        if at < 0:
            return whole
        if whole[at + len(END_MARK) :].strip() or self._tail.strip():
            raise AttemptLost("bytes came after the end mark")
        self.ended = True
        return whole[:at]

    def _check_names(self, whole: bytes) -> None:
        """Check each event's adapter: by counting, and by reading where that fails."""
        if whole.count(self._mark) == whole.count(EVENT_END):
            return
        for event in read_events(whole):
            if event.model != self._name:
                raise WronglyNamed(f"{event.model} answered for {self._name}")

    def _keep(self, whole: bytes) -> None:
        self._kept_bytes += len(whole)
        if self._kept_bytes <= KEPT_BYTES:
            self._kept.append(whole)

    @property
    def delivered(self) -> bool:
        """Tell whether any event was handed on."""
        return self._kept_bytes > 0

    def list_token_ids(self) -> tuple[int, ...] | None:
        """Return the token ids handed on; none where they cannot be told."""
        if self._kept_bytes > KEPT_BYTES:
            return None
        ids: list[int] = []
        for event in read_events(b"".join(self._kept)):
            for choice in event.choices:
                if (
                    choice.text or choice.delta.get("content")
                ) and not choice.token_ids:
                    return None
                ids.extend(choice.token_ids)
        return tuple(ids)
