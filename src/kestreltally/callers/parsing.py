"""Parse and validate the HTTP requests of callers."""

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
    VERSION_SEPARATOR,
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
MAX_REQUEST_ID_LENGTH: Final = 128
TRUE_VALUES: Final = frozenset({"1", "true", "yes"})
FALSE_VALUES: Final = frozenset({"", "0", "false", "no"})
PRIORITIES_BY_NAME: Final = {each.name.lower(): each for each in Priority}
COMPLETIONS: Final = "/v1/completions"
CHAT: Final = "/v1/chat/completions"
UNFORWARDED_HEADERS: Final = frozenset(
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
    """The fields of a completion body that this system uses."""

    model: str
    stream: bool = False
    prompt: str | list[Any] | None = None
    messages: list[dict[str, Any]] | None = None


class Headers(msgspec.Struct, frozen=True):
    """The options that a caller sets by headers."""

    request: str
    deadline: Seconds
    priority: Priority
    not_repeatable: bool


def refuse(
    reason: RefusalReason,
    message: str,
    retry_after: Seconds = 0.0,
) -> Err[Refusal]:
    """Return a refusal of a request that was definitely not run."""
    return Err(
        Refusal(
            reason=reason,
            outcome=Outcome.NOT_RUN,
            message=message,
            retry_after=retry_after,
        )
    )


def parse_headers(
    world: World,
    caller: Caller,
    headers: Mapping[str, str],
) -> Result[Headers, Refusal]:
    """Return the options in the headers, or a refusal that names the malformed one."""
    request = headers.get(HEADER_REQUEST, "") or uuid4().hex
    if len(request) > MAX_REQUEST_ID_LENGTH or not _is_valid_id(request):
        return refuse(
            RefusalReason.MALFORMED,
            f"{HEADER_REQUEST}: at most {MAX_REQUEST_ID_LENGTH} letters, digits, . _ -",
        )
    limits = world.settings.limits
    deadline = limits.default_deadline
    if HEADER_DEADLINE in headers:
        deadline = _parse_number(headers[HEADER_DEADLINE])
        if not 0 < deadline <= limits.longest_deadline:
            return refuse(
                RefusalReason.MALFORMED,
                f"{HEADER_DEADLINE}: above 0 and at most {limits.longest_deadline}",
            )
    priority_name = headers.get(HEADER_PRIORITY, "").lower()
    if priority_name and priority_name not in PRIORITIES_BY_NAME:
        return refuse(
            RefusalReason.MALFORMED,
            f"{HEADER_PRIORITY}: one of {', '.join(PRIORITIES_BY_NAME)}",
        )
    caller_priority = Priority(caller.priority)
    priority = max(
        caller_priority, PRIORITIES_BY_NAME.get(priority_name, caller_priority)
    )
    flag = headers.get(HEADER_NOT_REPEATABLE, "").lower()
    if flag not in TRUE_VALUES | FALSE_VALUES:
        return refuse(
            RefusalReason.MALFORMED, f"{HEADER_NOT_REPEATABLE}: true or false"
        )
    if flag in TRUE_VALUES and HEADER_REQUEST not in headers:
        return refuse(
            RefusalReason.MALFORMED,
            f"{HEADER_REQUEST}: needed with {HEADER_NOT_REPEATABLE}",
        )
    return Ok(
        Headers(
            request=request,
            deadline=deadline,
            priority=priority,
            not_repeatable=flag in TRUE_VALUES,
        )
    )


def _is_valid_id(text: str) -> bool:
    return all(each.isascii() and (each.isalnum() or each in "._-") for each in text)


def _parse_number(text: str) -> float:
    try:
        number = float(text)
    except ValueError:
        return -1.0
    return number if math.isfinite(number) else -1.0


def resolve_version(world: World, name: str) -> Result[tuple[Adapter, int], Refusal]:
    """Return the adapter and version named by a caller's ``model`` field."""
    requested = AdapterVersion(adapter=name, version=0)
    if VERSION_SEPARATOR in name:
        try:
            requested = parse_adapter_version(name)
        except MalformedAdapter as error:
            return refuse(RefusalReason.MALFORMED, f"model: {error}")
    adapter = world.config.find_adapter(requested.adapter)
    if adapter is None:
        return refuse(RefusalReason.UNKNOWN_ADAPTER, f"model: no adapter {name!r}")
    version = requested.version or adapter.current
    if version not in adapter.versions:
        known = ", ".join(map(str, adapter.versions)) or "none"
        return refuse(
            RefusalReason.UNKNOWN_ADAPTER,
            f"model: {name!r} is not a published version; there are: {known}",
        )
    return Ok((adapter, version))


def make_internal_id(caller: Caller, request: str) -> RequestId:
    """Return the internal request id, which includes the caller's name."""
    return RequestId(f"{caller.name}:{request}")


def parse_completion(
    world: World,
    caller: Caller,
    path: str,
    headers: Mapping[str, str],
    raw: bytes,
    now: Seconds,
) -> Result[tuple[CallerRequest, bool], Refusal]:
    """Return the request and whether to stream the answer, or a refusal."""
    parsed_headers = parse_headers(world, caller, headers)
    if isinstance(parsed_headers, Err):
        return parsed_headers
    try:
        body = msgspec.json.decode(raw, type=CompletionBody)
        payload = msgspec.json.decode(raw, type=dict[str, Any])
    except (msgspec.MsgspecError, RecursionError) as error:
        return refuse(RefusalReason.MALFORMED, f"body: {error}")
    missing = body.messages is None if path == CHAT else body.prompt is None
    if missing:
        field = "messages" if path == CHAT else "prompt"
        return refuse(RefusalReason.MALFORMED, f"body: {field} is missing")
    found = resolve_version(world, body.model)
    if isinstance(found, Err):
        return found
    adapter, version = found.ok_value
    denied = check_rules(world, caller.name, adapter.name)
    if denied is not None:
        return Err(denied)
    adapter_version = AdapterVersion(adapter=adapter.name, version=version)
    candidates = list_candidates(world, adapter.model, adapter_version)
    payload["model"] = str(adapter_version)
    payload["stream"] = True
    caller_headers = parsed_headers.ok_value
    request = CallerRequest(
        request=make_internal_id(caller, caller_headers.request),
        caller=caller,
        adapter=adapter_version,
        candidates=candidates,
        priority=caller_headers.priority,
        repeatable=not caller_headers.not_repeatable,
        received_at=now,
        deadline_at=now + caller_headers.deadline,
        revision=world.config.revision,
        path=path,
        payload=payload,
    )
    return Ok((request, body.stream))


def match_service(world: World, path: str) -> tuple[str, list[Endpoint]]:
    """Return the longest service prefix matching a path, and its endpoints."""
    services_by_prefix: dict[str, list[Endpoint]] = {}
    for spec in world.config.endpoints_of_model.get("", {}).values():
        prefix = spec.prefix.rstrip("/")
        is_under_prefix = path == prefix or path.startswith(prefix + "/")
        if spec.kind is EndpointKind.SERVICE and prefix and is_under_prefix:
            services_by_prefix.setdefault(prefix, []).append(spec)
    longest = max(services_by_prefix, key=len, default="")
    return longest, services_by_prefix.get(longest, [])


def parse_service_call(
    world: World,
    caller: Caller,
    method: str,
    path: str,
    path_and_query: str,
    headers: Mapping[str, str],
    raw: bytes,
    now: Seconds,
) -> Result[CallerRequest, Refusal]:
    """Return the request to a plain service, or a refusal."""
    parsed_headers = parse_headers(world, caller, headers)
    if isinstance(parsed_headers, Err):
        return parsed_headers
    prefix, specs = match_service(world, path)
    if not specs:
        return refuse(
            RefusalReason.UNKNOWN_ADAPTER, f"no service serves the path {path}"
        )
    denied = check_rules(world, caller.name, prefix)
    if denied is not None:
        return Err(denied)
    caller_headers = parsed_headers.ok_value
    is_method_repeatable = all(method in spec.repeatable_methods for spec in specs)
    repeatable = is_method_repeatable and not caller_headers.not_repeatable
    if not repeatable and HEADER_REQUEST not in headers:
        return refuse(
            RefusalReason.MALFORMED,
            f"{HEADER_REQUEST}: needed for {method}, which is not repeatable",
        )
    forwarded = {
        name: value
        for name, value in headers.items()
        if name.lower() not in UNFORWARDED_HEADERS
    }
    call = ServiceCall(
        attempt=AttemptId(""),
        method=method,
        path=path_and_query,
        headers=forwarded,
        body=raw,
    )
    return Ok(
        CallerRequest(
            request=make_internal_id(caller, caller_headers.request),
            caller=caller,
            adapter=SERVICE,
            candidates=tuple(EndpointId(spec.name) for spec in specs),
            priority=caller_headers.priority,
            repeatable=repeatable,
            received_at=now,
            deadline_at=now + caller_headers.deadline,
            revision=world.config.revision,
            path=path,
            call=call,
        )
    )
