"""Malformed objects of the platform are reported by key and do not affect others."""

from typing import Any

import pytest

from kestreltally.entities.configuration import MalformedObject, parse_config_object
from kestreltally.objectapi.records import read_config_objects, read_leader_record
from kestreltally.ports import StoredObject


def wrap(value: Any) -> dict[str, Any]:
    return {"by": "op", "at": 1.0, "change": "c", "value": value}


BAD = {
    "unknown kind": ("config/car/a", wrap({"name": "a"}), "kind is not one of"),
    "no name": ("config/model/", wrap({"name": ""}), "config/model/"),
    "not wrapped": ("config/model/a", {"name": "a"}, "missing required field"),
    "other name": ("config/model/a", wrap({"name": "b"}), "named 'b'"),
    "wrong type": (
        "config/adapter/a",
        wrap({"name": "a", "model": "m", "versions": ["x"]}),
        "$.versions[0]",
    ),
    "out of range": (
        "config/endpoint/e",
        wrap(
            {
                "name": "e",
                "kind": "engine",
                "url": "http://e",
                "data_centre": "d",
                "slots": 0,
            }
        ),
        "$.slots",
    ),
    "url without scheme": (
        "config/endpoint/e",
        wrap({"name": "e", "kind": "engine", "url": "e", "data_centre": "d"}),
        "$.url",
    ),
}


@pytest.mark.parametrize("name", BAD)
def test_malformed_object_is_named(name: str) -> None:
    key, value, text = BAD[name]
    with pytest.raises(MalformedObject) as caught:
        parse_config_object(key, value, 1)
    assert key in str(caught.value) and text in str(caught.value)


def test_one_malformed_object_does_not_lose_the_others() -> None:
    good = StoredObject("config/model/a", wrap({"name": "a"}), 1, 1)
    bad = StoredObject("config/model/b", 7, 2, 2)
    assert [each.name for each in read_config_objects([bad, good])] == ["a"]


@pytest.mark.parametrize("value", [None, 7, {}, {"leader": 1}])
def test_malformed_leader_record_is_none(value: Any) -> None:
    assert read_leader_record(StoredObject("leader/e", value, 3, 3)) is None
