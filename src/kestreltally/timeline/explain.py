"""Explains in plain sentences why a request waited, ran or was refused."""

from collections.abc import Callable
from typing import Final

from kestreltally.timeline.events import Event, EventFilter
from kestreltally.timeline.merge import merge_events

Sentence = Callable[[Event], str]

SENTENCES: Final[dict[tuple[str, str], Sentence]] = {
    ("request", "received"): lambda e: (
        f"{e.vm} received it for {e.adapter or 'a plain service'} ({e.detail}) and "
        f"evaluated it under {e.reason}."
    ),
    ("request", "claims its id"): lambda e: (
        "It may run only once, so its id was claimed in the object API first."
    ),
    ("entry", "asks for a permit"): lambda e: (
        f"It asked for a permit at {e.endpoint}: that {e.reason}."
    ),
    ("entry", "cannot wait there"): lambda e: (
        f"It could not wait at {e.endpoint}: the {e.reason}."
    ),
    ("permits", "grants a permit"): lambda e: (
        f"{e.vm}, which leads {e.endpoint}, granted a permit ({e.detail})."
    ),
    ("loads", "plans a load"): lambda e: (
        f"{e.endpoint} did not hold {e.adapter}, so {e.vm} planned a load ({e.reason})."
    ),
    ("loads", "closes a slot"): lambda e: (
        f"{e.endpoint} had no free slot; {e.adapter} was chosen for eviction "
        f"{e.reason}."
    ),
    ("loads", "orders an unload"): lambda e: (
        f"{e.vm} ordered {e.endpoint} to unload {e.adapter}, as {e.reason}."
    ),
    ("loads", "orders a load"): lambda e: (
        f"{e.vm} ordered {e.endpoint} to load {e.adapter}, {e.detail}."
    ),
    ("loads", "load done"): lambda e: f"The load at {e.endpoint} took {e.detail}.",
    ("request", "sent"): lambda e: f"It was sent to {e.endpoint}.",
    ("request", "first token"): lambda e: f"The first token came {e.detail}.",
    ("request", "done"): lambda e: f"It was answered completely {e.detail}.",
    ("request", "refused"): lambda e: (
        f"It was refused {e.detail}, definitely without having run: {e.reason}."
    ),
    ("request", "failed"): lambda e: f"It failed {e.detail}: {e.reason}.",
    ("request", "attempt lost"): lambda e: (
        f"The attempt at {e.endpoint} was lost ({e.reason}): it may have run there."
    ),
    ("request", "attempt not run"): lambda e: (
        f"{e.endpoint} definitely did not run the attempt ({e.reason})."
    ),
}
LOAD_PARTS: Final = frozenset({"loads"})


def select_for_request(events: list[Event], request: str) -> list[Event]:
    """Return a request's events, and the events of the loads it waited for."""
    merged = merge_events(events)
    event_filter = EventFilter(request=request)
    request_events = [event for event in merged if event_filter.passes(event)]
    if not request_events:
        return []
    start, end = request_events[0].stamp, request_events[-1].stamp
    endpoints = {event.endpoint for event in request_events if event.endpoint}
    adapters = {event.adapter for event in request_events if event.adapter}
    return [
        event
        for event in merged
        if event in request_events
        or (
            event.part in LOAD_PARTS
            and start <= event.stamp <= end
            and event.endpoint in endpoints
            and (event.adapter in adapters or any(a in event.reason for a in adapters))
        )
    ]


def explain_request(events: list[Event], request: str) -> list[str]:
    """Return sentences about one request, or a single one if it is unknown."""
    selected = select_for_request(events, request)
    if not selected:
        return [f"No daemon's time line holds a request {request!r} any more."]
    sentences = []
    for event in selected:
        write = SENTENCES.get((event.part, event.what))
        text = write(event) if write else f"{event.vm} {event.part}: {event.what}."
        sentences.append(f"{event.stamp - selected[0].stamp:7.3f} s  {text}")
    return sentences
