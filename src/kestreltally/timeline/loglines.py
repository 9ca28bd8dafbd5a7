"""Explains from the daemons' log lines how a request ended, and why."""

import json
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Final, TextIO

from kestreltally.decisions import Decision

# Other decisions of the same daemon, from this time before a request's first line until
# its end, are listed as possible causes.
NEARBY_SECONDS: Final = 3.0
_NEARBY_EVENTS: Final = frozenset(
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
_END_EVENTS: Final = frozenset(
    each.text
    for each in (
        Decision.REQUEST_DONE,
        Decision.REQUEST_REFUSED,
        Decision.REQUEST_BROKEN_OFF,
        Decision.REQUEST_ABANDONED,
    )
)


# Events about a request's content; any daemon may log them, independent of request ids.
_CONTENT_EVENTS: Final = frozenset(
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
    """One log line of a daemon; ``at`` is its wall-clock time in seconds."""

    at: float
    vm: str
    event: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Explanation:
    """How a request ended: sentences in order, and decisions made around that time."""

    request: str
    sentences: tuple[str, ...]
    cause: str
    nearby: tuple[str, ...]


def read_lines(files: Iterable[TextIO]) -> list[LogLine]:
    """Return the log lines of all daemons by time; other lines are skipped."""
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
    except (ValueError, KeyError, RecursionError, TypeError):
        return None


LineFormatter = Callable[[dict[str, Any]], str]
LINE_FORMATTERS: Final[dict[str, LineFormatter]] = {}


def formats(decision: Decision) -> Callable[[LineFormatter], LineFormatter]:
    """Register the function that formats a kind of line as a sentence."""

    def register(formatter: LineFormatter) -> LineFormatter:
        LINE_FORMATTERS[decision.text] = formatter
        return formatter

    return register


@formats(Decision.REQUEST_WAITS)
def describe_wait(fields: dict[str, Any]) -> str:
    """Describe that a request waits for its weights."""
    return (
        f"it waits for {fields.get('weights')}, which no usable engine holds; a load "
        f"takes {_format_seconds(fields.get('load_wait'))} by the leader's estimate"
    )


@formats(Decision.REQUEST_MOVES_ON)
def describe_move(fields: dict[str, Any]) -> str:
    """Describe that an endpoint did not serve a request."""
    may = "may have run there" if fields.get("may_have_run") else "did not run there"
    return (
        f"{fields.get('endpoint')} did not serve it: {fields.get('fault')}; it {may}; "
        f"{fields.get('retries_left')} repeated sends are left in the budget"
    )


@formats(Decision.REQUEST_REFUSED)
def describe_refusal(fields: dict[str, Any]) -> str:
    """Describe that a request was refused."""
    after = fields.get("retry_after")
    again = f", to come back in {_format_seconds(after)}" if after is not None else ""
    return (
        f"it is refused with {fields.get('status')}{again}: {fields.get('reason')} "
        f"(after {fields.get('took')} s; configuration {fields.get('configuration')})"
    )


@formats(Decision.REQUEST_BROKEN_OFF)
def describe_break(fields: dict[str, Any]) -> str:
    """Describe that an answer could not be completed."""
    return (
        f"its answer is broken off after {fields.get('took')} s: {fields.get('reason')}"
    )


@formats(Decision.REQUEST_ABANDONED)
def describe_abandonment(fields: dict[str, Any]) -> str:
    """Describe that the client disconnected."""
    return f"its client left after {fields.get('took')} s; its run was cancelled"


@formats(Decision.REQUEST_DONE)
def describe_end(fields: dict[str, Any]) -> str:
    """Describe that a request was answered."""
    return (
        f"it is answered with {fields.get('status')} after {fields.get('took')} s, "
        f"the first byte after {_format_seconds(fields.get('first'))}, of which it "
        f"waited {_format_seconds(fields.get('waited'))} for weights"
        + _describe_turn(fields)
    )


def _describe_turn(fields: dict[str, Any]) -> str:
    """Describe the wait for a turn at an engine, if there was one."""
    if not fields.get("turn"):
        return ""
    return f" and {_format_seconds(fields['turn'])} for its turn"


def _format_seconds(value: Any) -> str:
    return f"{round(value, 3)} s" if value is not None else "an unknown time"


def explain_request(lines: Sequence[LogLine], request: str) -> Explanation | None:
    """Return an explanation of a request, or None if no line names it."""
    request_lines = [line for line in lines if line.fields.get("request") == request]
    if not request_lines:
        return None
    sentences = []
    for line in request_lines:
        trail = line.fields.get("trail") or ()
        if trail:
            sentences.append(
                f"{line.at:.3f} {line.vm}: it took {'; then '.join(trail)}"
            )
        formatter = LINE_FORMATTERS.get(line.event)
        description = formatter(line.fields) if formatter is not None else line.event
        sentences.append(f"{line.at:.3f} {line.vm}: {description}")
    nearby = tuple(
        f"{line.at:.3f} {line.vm}: {line.event} {line.fields}"
        for line in lines
        if _is_nearby(line, request_lines) or _concerns_content(line, request_lines[-1])
    )
    return Explanation(request, tuple(sentences), describe_cause(request_lines), nearby)


def _is_nearby(line: LogLine, request_lines: Sequence[LogLine]) -> bool:
    last = request_lines[-1]
    return (
        line.event in _NEARBY_EVENTS
        and line.vm == last.vm
        and request_lines[0].at - NEARBY_SECONDS <= line.at <= last.at
    )


def _concerns_content(line: LogLine, last: LogLine) -> bool:
    content = last.fields.get("content")
    if content is None or line.event not in _CONTENT_EVENTS:
        return False
    logged_content = line.fields.get("content")
    return content == logged_content or (
        isinstance(logged_content, list) and content in logged_content
    )


def describe_cause(request_lines: Sequence[LogLine]) -> str:
    """Return a short description of why a request ended as it did."""
    ends = [line for line in request_lines if line.event in _END_EVENTS]
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
    """Return the number of requests that were not served, by cause."""
    causes: dict[str, int] = {}
    for line in lines:
        if line.event not in _END_EVENTS:
            continue
        cause = describe_cause([line])
        weights = line.fields.get("weights")
        if weights:
            # The same cause is counted together for all adapters.
            cause = cause.replace(weights, "an adapter")
        if cause != "served":
            causes[cause] = causes.get(cause, 0) + 1
    return causes
