"""One time line for all daemons: merged in causal order, as text or as a trace."""

from collections.abc import Iterable
from datetime import UTC, datetime
from typing import Any, Final

from kestreltally.timeline.events import Event

MICROSECONDS: Final = 1e6
ENDINGS: Final = frozenset({"done", "refused", "failed"})


def merge_events(events: Iterable[Event]) -> list[Event]:
    """Return the events in an order in which no event precedes its cause."""
    return sorted(events, key=lambda e: (e.stamp, e.vm, e.incarnation, e.sequence))


def format_event(event: Event) -> str:
    """Return one line of text for an event."""
    at = datetime.fromtimestamp(event.stamp, UTC).strftime("%H:%M:%S.%f")[:-3]
    subjects = [
        f"{name}={value}"
        for name, value in (
            ("request", event.request),
            ("endpoint", event.endpoint),
            ("adapter", event.adapter),
        )
        if value
    ]
    parts = [f"{at} {event.vm:<8} {event.part:<12} {event.what}"]
    if event.reason:
        parts.append(f"({event.reason})")
    if event.detail:
        parts.append(f"[{event.detail}]")
    return " ".join(parts + subjects)


def export_trace(events: Iterable[Event]) -> dict[str, Any]:
    """Return the events in the Chrome trace format.

    Each daemon is a process and each part a thread; requests are shown as spans
    from their first to their last event.
    """
    merged = merge_events(events)
    trace = [_make_instant(event) for event in merged]
    trace.extend(_make_spans(merged))
    return {"traceEvents": trace, "displayTimeUnit": "ms"}


def _make_instant(event: Event) -> dict[str, Any]:
    return {
        "name": event.what,
        "cat": event.part,
        "ph": "i",
        "s": "t",
        "ts": event.stamp * MICROSECONDS,
        "pid": event.vm,
        "tid": event.part,
        "args": {
            "reason": event.reason,
            "request": event.request,
            "endpoint": event.endpoint,
            "adapter": event.adapter,
            "detail": event.detail,
        },
    }


def _make_spans(merged: list[Event]) -> list[dict[str, Any]]:
    started: dict[tuple[str, str], Event] = {}
    spans = []
    for event in merged:
        key = (event.vm, event.request)
        if event.part != "request":
            continue
        if event.what == "received":
            started[key] = event
        elif event.what in ENDINGS and key in started:
            first = started.pop(key)
            spans.append(
                {
                    "name": event.request,
                    "cat": "request",
                    "ph": "X",
                    "ts": first.stamp * MICROSECONDS,
                    "dur": (event.stamp - first.stamp) * MICROSECONDS,
                    "pid": event.vm,
                    "tid": "requests",
                    "args": {"end": event.what, "reason": event.reason},
                }
            )
    return spans
