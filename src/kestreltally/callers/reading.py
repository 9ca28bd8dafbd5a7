"""Turn a caller's HTTP request into a checked, typed one."""

import math
from collections.abc import Mapping
from typing import Any, Final
from uuid import uuid4

import msgspec
from result import Err, Ok, Result

from kestreltally.callers.identity import check_rules
from kestreltally.entities.configuration import (
    Adapter,
    Caller,
    Endpoint,
    EndpointKind,
)
from kestreltally.entities.ids import (
    SERVICE,
    VERSION_MARK,
    AdapterVersion,
    AttemptId,
    EndpointId,
    MalformedAdapter,
    Priority,
    RequestId,
    Seconds,
    parse_adapter_version,
)
from kestreltally.orders import RefusalReason
from kestreltally.ports import ServiceCall
from kestreltally.requests.attempts import CallerRequest
from kestreltally.requests.outcomes import Outcome, Refusal
from kestreltally.systems.availability import list_candidates
from kestreltally.world import World

HEADER_REQUEST: Final = "X-Request-Id"
HEADER_DEADLINE: Final = "X-Deadline-Seconds"
HEADER_PRIORITY: Final = "X-Priority"
HEADER_NOT_REPEATABLE: Final = "X-Not-Repeatable"
LONGEST_REQUEST_ID: Final = 128
TRUE_WORDS: Final = frozenset({"1", "true", "yes"})
FALSE_WORDS: Final = frozenset({"", "0", "false", "no"})
PRIORITY_WORDS: Final = {each.name.lower(): each for each in Priority}
COMPLETIONS: Final = "/v1/completions"
CHAT: Final = "/v1/chat/completions"
HOP_HEADERS: Final = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class CompletionBody(msgspec.Struct, frozen=True):
    """The parts of a completion's body that concern this system."""

    model: str
    stream: bool = False
    prompt: str | list[Any] | None = None
    messages: list[dict[str, Any]] | None = None


class Headers(msgspec.Struct, frozen=True):
    """What a caller asks for by headers."""

    request: str
    deadline: Seconds
    priority: Priority
    not_repeatable: bool


def refuse(
    reason: RefusalReason,
    message: str,
    retry_after: Seconds = 0.0,
) -> Err[Refusal]:
    """Return a refusal of something that was surely not run."""
    return Err(
        Refusal(
            reason=reason,
            outcome=Outcome.NOT_RUN,
            message=message,
            retry_after=retry_after,
        )
    )


def read_headers(
    world: World,
    caller: Caller,
    headers: Mapping[str, str],
) -> Result[Headers, Refusal]:
    """Return what the headers ask for, or which one is malformed."""
    request = headers.get(HEADER_REQUEST, "") or uuid4().hex
    if len(request) > LONGEST_REQUEST_ID or not _is_plain(request):
        return refuse(
            RefusalReason.MALFORMED,
            f"{HEADER_REQUEST}: at most {LONGEST_REQUEST_ID} letters, digits, . _ -",
        )
    limits = world.settings.limits
    deadline = limits.default_deadline
    if HEADER_DEADLINE in headers:
        deadline = _read_number(headers[HEADER_DEADLINE])
        if not 0 < deadline <= limits.longest_deadline:
            return refuse(
                RefusalReason.MALFORMED,
                f"{HEADER_DEADLINE}: above 0 and at most {limits.longest_deadline}",
            )
    word = headers.get(HEADER_PRIORITY, "").lower()
    if word and word not in PRIORITY_WORDS:
        return refuse(
            RefusalReason.MALFORMED,
            f"{HEADER_PRIORITY}: one of {', '.join(PRIORITY_WORDS)}",
        )
    own = Priority(caller.priority)
    priority = max(own, PRIORITY_WORDS.get(word, own))
    once = headers.get(HEADER_NOT_REPEATABLE, "").lower()
    if once not in TRUE_WORDS | FALSE_WORDS:
        return refuse(
            RefusalReason.MALFORMED, f"{HEADER_NOT_REPEATABLE}: true or false"
        )
    if once in TRUE_WORDS and HEADER_REQUEST not in headers:
        return refuse(
            RefusalReason.MALFORMED,
            f"{HEADER_REQUEST}: needed with {HEADER_NOT_REPEATABLE}",
        )
    return Ok(
        Headers(
            request=request,
            deadline=deadline,
            priority=priority,
            not_repeatable=once in TRUE_WORDS,
        )
    )


def _is_plain(text: str) -> bool:
    return all(each.isascii() and (each.isalnum() or each in "._-") for each in text)


def _read_number(text: str) -> float:
    try:
        number = float(text)
    except ValueError:
        return -1.0
    return number if math.isfinite(number) else -1.0


def find_version(world: World, name: str) -> Result[tuple[Adapter, int], Refusal]:
    """Return the adapter and version that a caller's ``model`` names."""
    wanted = AdapterVersion(adapter=name, version=0)
    if VERSION_MARK in name:
        try:
            wanted = parse_adapter_version(name)
        except MalformedAdapter as error:
            return refuse(RefusalReason.MALFORMED, f"model: {error}")
    adapter = world.config.find_adapter(wanted.adapter)
    if adapter is None:
        return refuse(RefusalReason.UNKNOWN_ADAPTER, f"model: no adapter {name!r}")
    version = wanted.version or adapter.current
    if version not in adapter.versions:
        known = ", ".join(map(str, adapter.versions)) or "none"
        return refuse(
            RefusalReason.UNKNOWN_ADAPTER,
            f"model: {name!r} has no such published version; there are: {known}",
        )
    return Ok((adapter, version))


def make_internal_id(caller: Caller, request: str) -> RequestId:
    """Return the id under which a request is known inside: with its caller."""
    return RequestId(f"{caller.name}:{request}")


def read_completion(
    world: World,
    caller: Caller,
    path: str,
    headers: Mapping[str, str],
    raw: bytes,
    now: Seconds,
) -> Result[tuple[CallerRequest, bool], Refusal]:
    """Return the request and whether it is to be streamed, or what is wrong."""
    asked = read_headers(world, caller, headers)
    if isinstance(asked, Err):
        return asked
    try:
        body = msgspec.json.decode(raw, type=CompletionBody)
        payload = msgspec.json.decode(raw, type=dict[str, Any])
    except msgspec.MsgspecError as error:
        return refuse(RefusalReason.MALFORMED, f"body: {error}")
    missing = body.messages is None if path == CHAT else body.prompt is None
    if missing:
        field = "messages" if path == CHAT else "prompt"
        return refuse(RefusalReason.MALFORMED, f"body: {field} is missing")
    found = find_version(world, body.model)
    if isinstance(found, Err):
        return found
    adapter, version = found.ok_value
    denied = check_rules(world, caller.name, adapter.name)
    if denied is not None:
        return Err(denied)
    named = AdapterVersion(adapter=adapter.name, version=version)
    candidates = list_candidates(world, adapter.model, named)
    payload["model"] = str(named)
    payload["stream"] = True
    options = asked.ok_value
    request = CallerRequest(
        request=make_internal_id(caller, options.request),
        caller=caller,
        adapter=named,
        candidates=candidates,
        priority=options.priority,
        repeatable=not options.not_repeatable,
        received_at=now,
        deadline_at=now + options.deadline,
        revision=world.config.revision,
        path=path,
        payload=payload,
    )
    return Ok((request, body.stream))


def find_service(world: World, path: str) -> tuple[str, list[Endpoint]]:
    """Return the longest prefix of plain services that fits a path, and those."""
    found: dict[str, list[Endpoint]] = {}
    for spec in world.config.endpoints_of_model.get("", {}).values():
        prefix = spec.prefix.rstrip("/")
        inside = path == prefix or path.startswith(prefix + "/")
        if spec.kind is EndpointKind.SERVICE and prefix and inside:
            found.setdefault(prefix, []).append(spec)
    longest = max(found, key=len, default="")
    return longest, found.get(longest, [])


def read_service_call(
    world: World,
    caller: Caller,
    method: str,
    path: str,
    path_and_query: str,
    headers: Mapping[str, str],
    raw: bytes,
    now: Seconds,
) -> Result[CallerRequest, Refusal]:
    """Return the request to a plain service, or what is wrong with it."""
    asked = read_headers(world, caller, headers)
    if isinstance(asked, Err):
        return asked
    prefix, specs = find_service(world, path)
    if not specs:
        return refuse(RefusalReason.UNKNOWN_ADAPTER, f"no service under {path}")
    denied = check_rules(world, caller.name, prefix)
    if denied is not None:
        return Err(denied)
    options = asked.ok_value
    by_rule = all(method in spec.repeatable_methods for spec in specs)
    repeatable = by_rule and not options.not_repeatable
    if not repeatable and HEADER_REQUEST not in headers:
        return refuse(
            RefusalReason.MALFORMED,
            f"{HEADER_REQUEST}: needed for {method}, which is not repeatable here",
        )
    kept = {
        name: value
        for name, value in headers.items()
        if name.lower() not in HOP_HEADERS
    }
    call = ServiceCall(
        attempt=AttemptId(""),
        method=method,
        path=path_and_query,
        headers=kept,
        body=raw,
    )
    return Ok(
        CallerRequest(
            request=make_internal_id(caller, options.request),
            caller=caller,
            adapter=SERVICE,
            candidates=tuple(EndpointId(spec.name) for spec in specs),
            priority=options.priority,
            repeatable=repeatable,
            received_at=now,
            deadline_at=now + options.deadline,
            revision=world.config.revision,
            path=path,
            call=call,
        )
    )
