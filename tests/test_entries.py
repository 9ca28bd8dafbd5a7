"""Entries of other writers: what cannot be read is left out, and stops no other.

An entry whose address held a number, or whose list of adapters held one, ended the
watch of all endpoints: the kinds of errors that were taken as "another form" missed it.
One whose zone was a list was taken, and ended each update to other daemons.
"""

import json
from contextlib import suppress
from typing import Any

from hypothesis import example, given, settings
from hypothesis import strategies as st
from thriftpy2.utils import serialize

from kestreltally.fleet.model import Endpoint, EndpointId
from kestreltally.knowledge.followers import EndpointsFollower, VersionsFollower
from kestreltally.knowledge.rows import encode_endpoint
from kestreltally.platform.documents import MalformedDocument, decode_endpoint
from kestreltally.platform.engines import decode_report
from kestreltally.platform.store import Listing, StoredObject, read_listed, read_page

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
ODD = st.recursive(
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
ENTRIES = ODD | st.fixed_dictionaries(
    {}, optional={name: ODD | st.just(value) for name, value in GOOD.items()}
)


def take(entries: list[Any]) -> list[Endpoint]:
    """Return what a follower takes of a listing, each fit to be told to others."""
    taken: list[Endpoint] = []
    follower = EndpointsFollower(
        taken.append, lambda _: None, lambda: 0.0, lambda: float("-inf")
    )
    objects = (
        StoredObject(f"i-{number}", number, entry)
        for number, entry in enumerate(entries)
    )
    follower.take_listing(Listing(tuple(objects), 1))
    for endpoint in taken:
        serialize(encode_endpoint(endpoint))
    return taken


@settings(max_examples=300, deadline=None)
@given(odd=ENTRIES)
@example(odd={**GOOD, "Zone": ["north"]})
@example(odd={**GOOD, "Address": 5})
@example(odd={**GOOD, "State": "resting"})
@example(odd={**GOOD, "born": "yesterday"})
@example(odd={**GOOD, "Slots": float("inf")})
@example(odd={**GOOD, "Models": [{"Name": "base", "Adapters": [5]}]})
@example(odd={**GOOD, "Address": "name.example:80"})
def test_an_odd_entry_stops_no_other(odd: Any) -> None:
    taken = take([GOOD, odd, GOOD])
    assert {"i-0", "i-2"} <= {each.id for each in taken}
    for endpoint in taken:
        assert endpoint.data_centre and isinstance(endpoint.data_centre, str)
        assert 0 < endpoint.port < 2**16 and endpoint.slots > 0


def test_what_an_entry_must_have() -> None:
    assert decode_endpoint("i-1", GOOD).born == GOOD["born"]
    for field in ("Service", "Address", "Zone", "Slots", "State"):
        missing = {name: value for name, value in GOOD.items() if name != field}
        try:
            decode_endpoint("i-1", missing)
        except MalformedDocument as error:
            assert "i-1" in str(error)
        else:
            raise AssertionError(field)


@settings(max_examples=100, deadline=None)
@given(odd=ODD)
def test_an_odd_version_stops_no_other(odd: Any) -> None:
    taken = []
    follower = VersionsFollower(lambda key, number: taken.append((key, number)))
    good = {"Model": "base", "Adapter": "a1", "Version": 2}
    follower.take_listing(
        Listing(tuple(StoredObject("v", 1, each) for each in (odd, good)), 1)
    )
    assert taken and taken[-1] == (("base", "a1"), 2)
    for key, number in taken:
        assert key.model and 0 <= number < 2**31


@settings(max_examples=100, deadline=None)
@given(odd=ODD)
def test_an_odd_report_is_an_error_of_one_kind(odd: Any) -> None:
    with suppress(ValueError):
        decode_report(json.dumps(odd).encode())


def test_bytes_that_cannot_be_read_leave_the_rest_of_a_page() -> None:
    good = {"Metadata": {"Name": "i-0", "Revision": 1}, "Specification": GOOD}
    odd = {"Metadata": {"Name": "i-1", "Revision": 2}, "Specification": "?"}
    page = {"items": [good, odd, {"Metadata": None}, 5], "CurrentRev": 3}
    content = json.dumps(page).encode().replace(b'"?"', b'"\xff\xfe\x01"')
    listed = read_listed(read_page("GET servers", content)["items"])
    assert [each.name for each in listed] == ["i-0", "i-1"]
    taken = take([each.content for each in listed])
    assert [each.id for each in taken] == [EndpointId("i-0")]
