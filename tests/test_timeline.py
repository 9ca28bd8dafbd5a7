"""The time line: bounded, ordered causally, exported and explained."""

from dataclasses import replace

from kestreltally.timeline.events import Event, EventFilter, Timeline
from kestreltally.timeline.explain import explain_request
from kestreltally.timeline.merge import export_trace, format_event, merge_events


def test_the_ring_is_bounded() -> None:
    line = Timeline("vm-0", 1, limit=3, wall_clock=lambda: 1.0)
    for number in range(10):
        line.add("part", f"event {number}")
    kept = [event.what for event in line.select(EventFilter())]
    assert kept == ["event 7", "event 8", "event 9"]


def test_an_effect_comes_after_its_cause_though_the_clocks_differ() -> None:
    fast = Timeline("vm-fast", 1, limit=10, wall_clock=lambda: 100.0)
    slow = Timeline("vm-slow", 1, limit=10, wall_clock=lambda: 90.0)
    fast.add("part", "cause")
    slow.observe(fast.stamp())
    slow.add("part", "effect")
    events = slow.select(EventFilter()) + fast.select(EventFilter())
    assert [event.what for event in merge_events(events)] == ["cause", "effect"]


def test_a_stamp_far_in_the_future_is_ignored() -> None:
    line = Timeline("vm-0", 1, limit=10, wall_clock=lambda: 100.0)
    line.observe(1e9)
    assert line.add("part", "event").stamp < 200.0


EVENT = Event(
    1.0, "vm-0", 1, 1, "request", "received", request="till:r1", adapter="a@1"
)


def test_filters_match_with_and_without_caller_and_version() -> None:
    assert EventFilter(request="r1", adapter="a").passes(EVENT)
    assert EventFilter(request="till:r1", adapter="a@1").passes(EVENT)
    assert not EventFilter(request="r").passes(EVENT)
    assert not EventFilter(vm="vm-1").passes(EVENT)


def make_events() -> list[Event]:
    steps = [
        ("request", "received", "engine-0", "revision 7"),
        ("entry", "asks for a permit", "engine-0", "would have to load it"),
        ("loads", "plans a load", "engine-0", "1 waiting"),
        ("loads", "plans a load", "engine-9", "1 waiting"),
        ("request", "done", "", ""),
    ]
    return [
        replace(
            EVENT,
            stamp=1.0 + number,
            sequence=number,
            part=part,
            what=what,
            endpoint=endpoint,
            reason=reason,
            request="" if part == "loads" else "till:r1",
        )
        for number, (part, what, endpoint, reason) in enumerate(steps)
    ]


def test_a_request_is_explained_with_the_loads_it_waited_for() -> None:
    sentences = explain_request(make_events(), "r1")
    assert len(sentences) == 4
    assert "engine-0 did not hold a@1" in sentences[2]
    assert not any("engine-9" in sentence for sentence in sentences)


def test_an_unknown_request_is_reported_as_unknown() -> None:
    (sentence,) = explain_request(make_events(), "r2")
    assert "'r2'" in sentence


def test_the_trace_has_a_span_for_each_request() -> None:
    trace = export_trace(make_events())["traceEvents"]
    (span,) = [each for each in trace if each["ph"] == "X"]
    assert span["dur"] == 4e6 and span["name"] == "till:r1"


def test_a_line_of_text_names_its_subjects() -> None:
    assert "request=till:r1 adapter=a@1" in format_event(EVENT)
