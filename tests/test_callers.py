"""Parsing of callers' requests, and the error for each malformed one."""

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from bench.slopes import make_test_world
from kestreltally.callers.identity import authenticate_caller, digest_key
from kestreltally.callers.parsing import parse_completion, parse_service_call
from kestreltally.callers.sinks import BufferedSink
from kestreltally.entities.configuration import (
    Adapter,
    Caller,
    ConfigObject,
    ConfigValue,
    Effect,
    Endpoint,
    EndpointKind,
    Rule,
    WhenStale,
)
from kestreltally.entities.ids import Priority
from kestreltally.orders import ConfigArrived, RefusalReason
from kestreltally.requests.outcomes import Outcome
from kestreltally.systems.registry import run_step
from kestreltally.world import World

CALLER = Caller("till", (digest_key("old"), digest_key("new")), priority=1)
OBJECTS: list[tuple[str, ConfigValue]] = [
    ("adapter", Adapter("a", "m", versions=(1, 2), current=2)),
    ("adapter", Adapter("empty", "m")),
    ("adapter", Adapter("secret", "m", versions=(1,), current=1)),
    ("adapter", Adapter("strict", "m", versions=(1,), current=1)),
    ("endpoint", Endpoint("e", EndpointKind.ENGINE, "http://e", "d", model="m")),
    (
        "endpoint",
        Endpoint("s", EndpointKind.SERVICE, "http://s", "d", prefix="/ledger"),
    ),
    ("caller", CALLER),
    ("rule", Rule("r1", "till", "a", Effect.ALLOW)),
    ("rule", Rule("r2", "*", "empty", Effect.ALLOW)),
    ("rule", Rule("r3", "till", "*", Effect.DENY)),
    ("rule", Rule("r4", "till", "/ledger", Effect.ALLOW)),
    ("rule", Rule("r5", "till", "strict", Effect.ALLOW, WhenStale.REFUSE)),
]


def make_world(without: tuple[str, ...] = ("r3",)) -> World:
    world = make_test_world()
    objects = [
        ConfigObject(kind, value.name, revision, value)
        for revision, (kind, value) in enumerate(OBJECTS, start=1)
        if value.name not in without
    ]
    arrived = ConfigArrived(0, len(OBJECTS), True, tuple(objects), world.now)
    world.inbox.append(arrived)
    run_step(world, world.now)
    return world


def parse(body: Any, world: World | None = None, **headers: str) -> Any:
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    chosen = world or make_world()
    return parse_completion(chosen, CALLER, "/v1/completions", named, raw, 0.0)


BODY = {"model": "a", "prompt": "p"}
MALFORMED_REQUESTS = {
    "body not JSON": (b"{", {}, RefusalReason.MALFORMED, "body"),
    "body a list": ([], {}, RefusalReason.MALFORMED, "body"),
    "no model": ({"prompt": "p"}, {}, RefusalReason.MALFORMED, "model"),
    "no prompt": ({"model": "a"}, {}, RefusalReason.MALFORMED, "prompt is missing"),
    "unknown adapter": (
        {"model": "b", "prompt": "p"},
        {},
        RefusalReason.UNKNOWN_ADAPTER,
        "no adapter 'b'",
    ),
    "unknown version": (
        {"model": "a@9", "prompt": "p"},
        {},
        RefusalReason.UNKNOWN_ADAPTER,
        "there are: 1, 2",
    ),
    "version not a number": (
        {"model": "a@x", "prompt": "p"},
        {},
        RefusalReason.MALFORMED,
        "name@version",
    ),
    "nothing published": (
        {"model": "empty", "prompt": "p"},
        {},
        RefusalReason.UNKNOWN_ADAPTER,
        "there are: none",
    ),
    "no rule": (
        {"model": "secret", "prompt": "p"},
        {},
        RefusalReason.NOT_ALLOWED,
        "no rule allows it",
    ),
    "deadline not a number": (
        BODY,
        {"X_Deadline_Seconds": "nan"},
        RefusalReason.MALFORMED,
        "X-Deadline-Seconds",
    ),
    "unknown priority": (
        BODY,
        {"X_Priority": "urgent"},
        RefusalReason.MALFORMED,
        "X-Priority",
    ),
    "request id with a blank": (
        BODY,
        {"X_Request_Id": "a b"},
        RefusalReason.MALFORMED,
        "X-Request-Id",
    ),
    "not repeatable without an id": (
        BODY,
        {"X_Not_Repeatable": "true"},
        RefusalReason.MALFORMED,
        "X-Request-Id: needed",
    ),
    "not repeatable, but what?": (
        BODY,
        {"X_Not_Repeatable": "perhaps"},
        RefusalReason.MALFORMED,
        "X-Not-Repeatable",
    ),
}


@pytest.mark.parametrize("name", MALFORMED_REQUESTS)
def test_refusal_names_the_error(name: str) -> None:
    body, headers, reason, text = MALFORMED_REQUESTS[name]
    refused = parse(body, **headers)  # type: ignore[arg-type]
    assert isinstance(refused, Err)
    assert refused.err_value.reason is reason
    assert refused.err_value.outcome is Outcome.NOT_RUN
    assert text in refused.err_value.message


def test_valid_request_is_parsed() -> None:
    result = parse({"model": "a", "prompt": "p", "stream": True}, X_Priority="batch")
    assert isinstance(result, Ok)
    request, streamed = result.ok_value
    assert streamed and request.priority is Priority.BATCH
    assert str(request.adapter) == "a@2" and request.candidates == ("e",)


def test_a_caller_cannot_raise_its_own_priority() -> None:
    request, _ = parse(BODY, X_Priority="interactive").ok_value
    assert request.priority is Priority.STANDARD


def test_deny_overrides_allow() -> None:
    refused = parse(BODY, make_world(without=()))
    assert "rule r3 denies it" in refused.err_value.message


def test_strict_rule_refuses_while_the_revision_is_unconfirmed() -> None:
    world = make_world()
    body = {"model": "strict", "prompt": "p"}
    assert isinstance(parse(body, world), Ok)
    world.now += world.settings.stale_after + 1.0
    refused = parse(body, world).err_value
    assert refused.reason is RefusalReason.STALE_CONFIGURATION
    assert isinstance(parse(BODY, world), Ok)


@pytest.mark.parametrize("key", ["old", "new"])
def test_both_keys_are_valid_during_rotation(key: str) -> None:
    assert authenticate_caller(make_world(), f"Bearer {key}").ok_value == CALLER


@pytest.mark.parametrize("header", ["", "Bearer", "Bearer x", "Basic old", "old"])
def test_unknown_key_is_refused_without_echoing_it(header: str) -> None:
    refused = authenticate_caller(make_world(), header).err_value
    assert refused.reason is RefusalReason.UNKNOWN_KEY
    assert "old" not in refused.message and "x" not in refused.message.split("'")[0]


@pytest.mark.parametrize(
    ("method", "headers", "repeatable"),
    [
        ("GET", {}, True),
        ("GET", {"X-Not-Repeatable": "true", "X-Request-Id": "r"}, False),
        ("POST", {"X-Request-Id": "r"}, False),
    ],
)
def test_repeatability_of_service_calls(
    method: str, headers: dict[str, str], repeatable: bool
) -> None:
    result = parse_service_call(
        make_world(), CALLER, method, "/ledger/x", "/ledger/x?y=1", headers, b"", 0.0
    )
    assert result.ok_value.repeatable is repeatable


def test_not_repeatable_call_needs_an_id() -> None:
    result = parse_service_call(
        make_world(), CALLER, "POST", "/ledger/x", "/ledger/x", {}, b"", 0.0
    )
    assert "X-Request-Id: needed for POST" in result.err_value.message


async def test_buffered_answer_has_the_usual_json_form() -> None:
    sink = BufferedSink()
    await sink.send(
        b'data: {"model":"a@2","choices":[{"text":" x","token_ids":[1]}]}\n\n'
        b'data: {"model":"a@2","choices":[{"text":" y","token_ids":[2]}]}\n\n'
    )
    body = sink.compose("r", chat=False)
    assert body["choices"][0]["text"] == " x y"
    assert body["usage"] == {"completion_tokens": 2}


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=80), st.text(max_size=20), st.text(max_size=10))
def test_arbitrary_request_never_raises(
    raw: bytes, request_id: str, header_value: str
) -> None:
    parse(
        raw,
        X_Request_Id=request_id,
        X_Deadline_Seconds=header_value,
        X_Priority=header_value,
    )
