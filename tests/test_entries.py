"""Tests that malformed entries of other writers are skipped without side effects.

Guards against an entry with a number as its address, or in its list of adapters, that
ends the watch of all endpoints by an error of another type than expected, and against
one with a list as its zone that is accepted and then fails each update to daemons.
"""

import json
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from thriftpy2.utils import serialize

from kestreltally.fleet.model import Endpoint, EndpointId
from kestreltally.knowledge.doubts import Doubts
from kestreltally.knowledge.rows import encode_endpoint
from kestreltally.knowledge.watch_handlers import EndpointsHandler, VersionsHandler
from kestreltally.platform.documents import MalformedDocument, decode_endpoint
from kestreltally.platform.engines import decode_report
from kestreltally.platform.pages import decode_page
from kestreltally.platform.store import (
    Change,
    Changes,
    Listing,
    Revision,
    StoredObject,
    decode_objects,
)
from tests.oddbytes import ODD_VALUES

GOOD = {
    "Service": "models",
    "Address": "10.0.0.1:8428",
    "Zone": "north",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "ColdLeftMs": 0,
    "Sequence": 3,
    "Models": [{"Name": "base", "Version": 1, "Adapters": ["a1@1"]}],
    "born": 1_769_353_084_983,
}
MALFORMED = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["\ud800", "host:1", "10.0.0.1:99999", "draining", "a@", "@1"]),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from([*GOOD, "Name", "Adapters"]), inner, max_size=4),
    max_leaves=8,
)
ENTRIES = MALFORMED | st.fixed_dictionaries(
    {}, optional={name: MALFORMED | st.just(value) for name, value in GOOD.items()}
)


def make_handler(put: Callable[[Endpoint, Revision], None]) -> EndpointsHandler:
    return EndpointsHandler(
        {},
        put,
        lambda *_: None,
        lambda _: None,
        Doubts(),
        lambda: 0.0,
        lambda: float("-inf"),
    )


def apply_entries(entries: list[Any]) -> list[Endpoint]:
    """Return the endpoints that a handler accepts; all of them can be serialised."""
    applied: list[Endpoint] = []
    follower = make_handler(lambda endpoint, _: applied.append(endpoint))
    objects = (
        StoredObject(f"i-{number}", number, entry)
        for number, entry in enumerate(entries)
    )
    follower.apply_listing(Listing(tuple(objects), 1))
    for endpoint in applied:
        serialize(encode_endpoint(endpoint))
    return applied


@settings(max_examples=300, deadline=None)
@given(malformed=ENTRIES)
@example(malformed={**GOOD, "Zone": ["north"]})
@example(malformed={**GOOD, "Address": 5})
@example(malformed={**GOOD, "State": "resting"})
@example(malformed={**GOOD, "born": "yesterday"})
@example(malformed={**GOOD, "Slots": float("inf")})
@example(malformed={**GOOD, "Models": [{"Name": "base", "Adapters": [5]}]})
@example(malformed={**GOOD, "Address": "name.example:80"})
def test_malformed_entry_does_not_affect_others(malformed: Any) -> None:
    applied = apply_entries([GOOD, malformed, GOOD])
    assert {"i-0", "i-2"} <= {each.id for each in applied}
    for endpoint in applied:
        assert endpoint.data_centre and isinstance(endpoint.data_centre, str)
        assert 0 < endpoint.port < 2**16 and endpoint.slots > 0


def test_entry_without_required_field_is_rejected() -> None:
    assert decode_endpoint("i-1", GOOD).start_time_ms == GOOD["born"]
    for field in ("Service", "Address", "Zone", "Slots", "State"):
        missing = {name: value for name, value in GOOD.items() if name != field}
        try:
            decode_endpoint("i-1", missing)
        except MalformedDocument as error:
            assert "i-1" in str(error)
        else:
            raise AssertionError(field)


@settings(max_examples=100, deadline=None)
@given(malformed=MALFORMED)
def test_malformed_version_does_not_affect_others(malformed: Any) -> None:
    applied = []
    follower = VersionsHandler(lambda key, number: applied.append((key, number)))
    good = {"Model": "base", "Adapter": "a1", "Version": 2}
    follower.apply_listing(
        Listing(tuple(StoredObject("v", 1, each) for each in (malformed, good)), 1)
    )
    assert applied and applied[-1] == (("base", "a1"), 2)
    for key, number in applied:
        assert key.model and 0 <= number < 2**31


def test_entry_that_fails_unforeseen_stops_no_other() -> None:
    applied: list[Endpoint] = []

    def put(endpoint: Endpoint, _: Any) -> None:
        if endpoint.id == "i-1":
            raise RuntimeError("a fault of ours")
        applied.append(endpoint)

    handler = make_handler(put)
    objects = [StoredObject(f"i-{number}", number, GOOD) for number in range(3)]
    handler.apply_listing(Listing(tuple(objects), 1))
    handler.apply_changes(Changes(tuple(Change(each, False) for each in objects), 2))
    assert [each.id for each in applied] == ["i-0", "i-2", "i-0", "i-2"]


@pytest.mark.parametrize("odd", ODD_VALUES.values(), ids=ODD_VALUES)
@pytest.mark.parametrize("field", ["Models", "unread"])
def test_report_that_cannot_be_decoded_is_malformed(odd: bytes, field: str) -> None:
    with suppress(MalformedDocument):
        decode_report(b'{"BusySlots":0,"%s":%s}' % (field.encode(), odd))


@settings(max_examples=100, deadline=None)
@given(malformed=MALFORMED)
def test_malformed_report_raises_only_value_errors(malformed: Any) -> None:
    with suppress(ValueError):
        decode_report(json.dumps(malformed).encode())


def test_undecodable_bytes_do_not_affect_rest_of_page() -> None:
    good = {"Metadata": {"Name": "i-0", "Revision": 1}, "Specification": GOOD}
    malformed = {"Metadata": {"Name": "i-1", "Revision": 2}, "Specification": "?"}
    page = {"items": [good, malformed, {"Metadata": None}, 5], "CurrentRev": 3}
    content = json.dumps(page).encode().replace(b'"?"', b'"\xff\xfe\x01"')
    listed = decode_objects(decode_page(content)["items"])
    assert [each.name for each in listed] == ["i-0", "i-1"]
    applied = apply_entries([each.content for each in listed])
    assert [each.id for each in applied] == [EndpointId("i-0")]
