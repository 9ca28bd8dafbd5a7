"""Tells from the daemons' log lines what became of a request, and why."""

import json
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Final, TextIO

from kestreltally.decisions import Decision

# What else a daemon decided this long before a request's end may be its cause, seconds.
NEARBY: Final = 3.0
_NEARBY: Final = frozenset(
    each.text
    for each in (
        Decision.ENDPOINT_LEFT_OUT,
        Decision.ENDPOINT_SAYS_LEAVING,
        Decision.ENDPOINT_WANTS_REST,
        Decision.ENDPOINT_SPARED,
        Decision.ENDPOINT_GONE,
        Decision.ENDPOINT_LEAVING,
        Decision.STORE_LOST,
        Decision.FEED_LEADER_LOST,
        Decision.LEASE_LOST,
        Decision.LEASE_RESIGNED,
        Decision.DAEMON_PLANNED_STOP_BEGINS,
        Decision.DAEMON_STARTED,
        Decision.CONFIGURATION_IN_FORCE,
    )
)
_ENDS: Final = frozenset(
    each.text
    for each in (
        Decision.REQUEST_DONE,
        Decision.REQUEST_REFUSED,
        Decision.REQUEST_BROKEN_OFF,
        Decision.REQUEST_ABANDONED,
    )
)


# What any daemon saw of a request's content, whatever its id.
_OF_CONTENT: Final = frozenset(
    each.text
    for each in (
        Decision.ENDPOINT_ENDED,
        Decision.POISON_SUSPECTED,
        Decision.POISON_STOPPED,
        Decision.POISON_PARDONED,
    )
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a daemon; ``at`` is its time of day, seconds."""

    at: float
    vm: str
    event: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Explanation:
    """What became of a request: sentences in order, and what was decided nearby."""

    request: str
    sentences: tuple[str, ...]
    cause: str
    nearby: tuple[str, ...]


def read_lines(files: Iterable[TextIO]) -> list[LogLine]:
    """Return the lines of all daemons by time; what is no line of theirs is skipped."""
    lines = []
    for file in files:
        for text in file:
            line = _read_line(text)
            if line is not None:
                lines.append(line)
    lines.sort(key=lambda each: each.at)
    return lines


def _read_line(text: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        fields.pop("level", None)
        return LogLine(
            at=float(fields.pop("at")),
            vm=str(fields.pop("vm")),
            event=str(fields.pop("event")),
            fields=fields,
        )
    except (ValueError, KeyError, TypeError):
        return None


Teller = Callable[[dict[str, Any]], str]
TELLERS: Final[dict[str, Teller]] = {}


def tells(decision: Decision) -> Callable[[Teller], Teller]:
    """Register what puts a kind of line into a sentence."""

    def register(teller: Teller) -> Teller:
        TELLERS[decision.text] = teller
        return teller

    return register


@tells(Decision.REQUEST_WAITS)
def tell_wait(fields: dict[str, Any]) -> str:
    """Tell that a request waits for its weights."""
    return (
        f"it waits for {fields.get('weights')}, which no usable engine holds; a load "
        f"takes {_say_seconds(fields.get('load_wait'))} by the leader's word"
    )


@tells(Decision.REQUEST_MOVES_ON)
def tell_move(fields: dict[str, Any]) -> str:
    """Tell that an endpoint did not serve a request."""
    may = "may have run there" if fields.get("may_have_run") else "did not run there"
    return (
        f"{fields.get('endpoint')} did not serve it: {fields.get('fault')}; it {may}; "
        f"{fields.get('retries_left')} repeated sends are left in the budget"
    )


@tells(Decision.REQUEST_REFUSED)
def tell_refusal(fields: dict[str, Any]) -> str:
    """Tell that a request was refused."""
    after = fields.get("retry_after")
    again = f", to come back in {_say_seconds(after)}" if after is not None else ""
    return (
        f"it is refused with {fields.get('status')}{again}: {fields.get('reason')} "
        f"(after {fields.get('took')} s; configuration {fields.get('configuration')})"
    )


@tells(Decision.REQUEST_BROKEN_OFF)
def tell_break(fields: dict[str, Any]) -> str:
    """Tell that an answer could not be finished."""
    return (
        f"its answer is broken off after {fields.get('took')} s: {fields.get('reason')}"
    )


@tells(Decision.REQUEST_ABANDONED)
def tell_abandonment(fields: dict[str, Any]) -> str:
    """Tell that the client left."""
    return f"its client left after {fields.get('took')} s; its run was cancelled"


@tells(Decision.REQUEST_DONE)
def tell_end(fields: dict[str, Any]) -> str:
    """Tell that a request was answered."""
    return (
        f"it is answered with {fields.get('status')} after {fields.get('took')} s, "
        f"the first byte after {_say_seconds(fields.get('first'))}, of which it waited "
        f"{_say_seconds(fields.get('waited'))} for weights"
    )


def _say_seconds(value: Any) -> str:
    return f"{round(value, 3)} s" if value is not None else "an unknown time"


def explain_request(lines: Sequence[LogLine], request: str) -> Explanation | None:
    """Return what became of a request, or none when no line names it."""
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return None
    sentences = []
    for line in own:
        trail = line.fields.get("trail") or ()
        if trail:
            sentences.append(
                f"{line.at:.3f} {line.vm}: it took {'; then '.join(trail)}"
            )
        teller = TELLERS.get(line.event)
        told = teller(line.fields) if teller is not None else line.event
        sentences.append(f"{line.at:.3f} {line.vm}: {told}")
    nearby = tuple(
        f"{line.at:.3f} {line.vm}: {line.event} {line.fields}"
        for line in lines
        if _is_nearby(line, own) or _is_of_content(line, own[-1])
    )
    return Explanation(request, tuple(sentences), find_cause(own), nearby)


def _is_nearby(line: LogLine, own: Sequence[LogLine]) -> bool:
    last = own[-1]
    return (
        line.event in _NEARBY
        and line.vm == last.vm
        and own[0].at - NEARBY <= line.at <= last.at
    )


def _is_of_content(line: LogLine, last: LogLine) -> bool:
    content = last.fields.get("content")
    if content is None or line.event not in _OF_CONTENT:
        return False
    named = line.fields.get("content")
    return content == named or (isinstance(named, list) and content in named)


def find_cause(own: Sequence[LogLine]) -> str:
    """Return in a few words why a request ended as it did."""
    ends = [line for line in own if line.event in _ENDS]
    if not ends:
        return "not ended in these logs: its daemon was lost, or runs on"
    end = ends[-1]
    if end.event == Decision.REQUEST_DONE.text:
        status = int(end.fields.get("status") or 0)
        return "served" if status < 400 else f"the endpoint answered {status}"
    if end.event == Decision.REQUEST_ABANDONED.text:
        return "the client left"
    return str(end.fields.get("reason") or end.event)


def count_causes(lines: Sequence[LogLine]) -> dict[str, int]:
    """Return how many requests ended in which way without being served."""
    causes: dict[str, int] = {}
    for line in lines:
        if line.event not in _ENDS:
            continue
        cause = find_cause([line])
        weights = line.fields.get("weights")
        if weights:
            # One cause, whichever adapter it befell.
            cause = cause.replace(weights, "an adapter")
        if cause != "served":
            causes[cause] = causes.get(cause, 0) + 1
    return causes
