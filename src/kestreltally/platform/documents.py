"""Decodes the objects of the store into the project's types."""

from collections.abc import Mapping
from ipaddress import IPv4Address
from typing import Any, Final

from kestreltally.fleet.model import (
    ClientLimits,
    Configuration,
    Endpoint,
    EndpointId,
    EngineSpec,
    ModelSpec,
    Organisation,
    OrganisationName,
    Quota,
    QuotaUnit,
    RequestKind,
    Route,
    Seconds,
    ServiceName,
    ServiceSpec,
    Share,
    SoftwareVersion,
    WeightsKey,
)
from kestreltally.platform.settings import read_address
from kestreltally.values import (
    FORMAT_ERRORS,
    MAX_NUMBER,
    MAX_PORT,
    describe_error,
    read_count,
    read_digits,
    read_finite,
    read_text,
    shorten,
)

MILLISECONDS: Final = 1000.0
CONFIGURATION_KIND: Final = "config"
CONFIGURATION_NAME: Final = "main"
ENDPOINTS_KIND: Final = "servers"
VERSIONS_KIND: Final = "versions"
LEASE_KIND: Final = "kestreltally-leases"

_KINDS: Final = {
    "safe": RequestKind.SAFE,
    "unsafe": RequestKind.UNSAFE,
    "streaming": RequestKind.STREAM,
}
_UNITS: Final = {"requests": QuotaUnit.REQUESTS, "tokens": QuotaUnit.TOKENS}
# Whether an endpoint in a state is leaving; one in any other state must not be used.
_STATES: Final = {"ready": False, "draining": True}

Document = Mapping[str, Any]


# A client abandons a stream that is silent for the maximum of: this time, this multiple
# of the route's objective, and this multiple of the longest pause between events that
# its specification allows.
MIN_SILENCE_LIMIT: Final[Seconds] = 2.0
SILENCE_LIMIT_OBJECTIVES: Final = 4.0
SILENCE_LIMIT_PAUSES: Final = 8.0


MAX_START_TIME_MS: Final = 2**62


class MalformedDocument(ValueError):
    """An object of the store does not conform to its published format."""


def decode_configuration(document: Document) -> Configuration:
    """Return a configuration; raises ``MalformedDocument``."""
    try:
        services = [_decode_service(each) for each in document["Services"]]
        return Configuration(
            version=read_count(document["Version"], minimum=0, maximum=MAX_NUMBER),
            routes=tuple(_decode_route(each) for each in document["Routes"]),
            services={each.name: each for each in services},
            limits=_decode_limits(document["Limits"]),
            organisations=tuple(
                _decode_organisation(each) for each in document.get("Tenants") or ()
            ),
        )
    except FORMAT_ERRORS as error:
        raise MalformedDocument(f"configuration: {describe_error(error)}") from error


def _read_milliseconds(value: Any) -> Seconds:
    """Return a time that is given in milliseconds."""
    return read_finite(value, minimum=0.0) / MILLISECONDS


def _read_number(value: Any) -> float:
    """Return a finite number that is not negative."""
    return read_finite(float(value), minimum=0.0)


def _read_integer(value: Any) -> int:
    """Return an integer that all arithmetic with floats bears."""
    return read_count(int(value), minimum=-MAX_NUMBER, maximum=MAX_NUMBER)


def _decode_route(route: Document) -> Route:
    weighted_services = route.get("Split")
    shares = (
        tuple(
            Share(ServiceName(read_text(item["Service"])), _read_number(item["Weight"]))
            for item in weighted_services
        )
        if weighted_services
        else (Share(ServiceName(read_text(route["Service"])), 1.0),)
    )
    objective = _read_milliseconds(route["ObjectiveMs"])
    pause = _read_milliseconds(route.get("GapTargetMs", 0.0))
    kind = _KINDS[route["Kind"]]
    return Route(
        name=route["Name"],
        host=route["Host"].lower(),
        prefix=route["PathPrefix"],
        kind=kind,
        shares=shares,
        timeout=_read_milliseconds(route["TimeoutMs"]),
        objective=objective,
        attempts=_read_integer(route.get("Attempts", 1)),
        priority=_read_integer(route.get("Priority", 5)),
        resumable=bool(route.get("Resumable", False)),
        silence_limit=(
            max(
                MIN_SILENCE_LIMIT,
                SILENCE_LIMIT_OBJECTIVES * objective,
                SILENCE_LIMIT_PAUSES * pause,
            )
            if kind is RequestKind.STREAM
            else 0.0
        ),
        public=bool(route.get("Public", False)),
        max_pause=pause if kind is RequestKind.STREAM else 0.0,
    )


def _decode_organisation(tenant: Document) -> Organisation:
    priority = tenant.get("Priority")
    return Organisation(
        name=OrganisationName(read_text(tenant["Name"])),
        keys=_decode_keys(tenant.get("Keys") or []),
        priority=_read_integer(priority) if priority is not None else None,
        quota=_decode_quota(tenant),
    )


def _decode_keys(keys: Any) -> tuple[str, ...]:
    if not isinstance(keys, list) or not all(isinstance(key, str) for key in keys):
        # The value is not shown: malformed content may still contain a key.
        raise TypeError("keys are not a list of strings")
    return tuple(keys)


def _decode_quota(tenant: Document) -> Quota | None:
    """Return an organisation's quota, or None: a rate of 0 means no limit."""
    rate = _read_number(tenant.get("RatePerS") or 0.0)
    if not rate:
        return None
    return Quota(
        unit=_UNITS[tenant.get("Unit") or "requests"],
        rate=rate,
        burst=_read_number(tenant.get("Burst") or 0.0),
        plain_tokens=_read_integer(tenant.get("PlainTokens") or 0),
    )


def _decode_service(service: Document) -> ServiceSpec:
    engine = service.get("Engine")
    return ServiceSpec(
        name=ServiceName(read_text(service["Name"])),
        health_path=service.get("HealthPath", "/health"),
        connection_cap=_read_integer(service["ConnectionCap"]),
        engine=_decode_engine(engine) if engine else None,
    )


def _decode_engine(engine: Document) -> EngineSpec:
    return EngineSpec(
        batch=_read_integer(engine["Slots"]),
        memory_mb=_read_number(engine["WeightsMb"]),
        adapter_places=_read_integer(engine.get("AdapterSlots", 0)),
        loads_per_second=_read_number(engine["LoadsPerS"]),
        models=tuple(
            ModelSpec(
                name=read_text(each["Name"]),
                weights_mb=_read_number(each["WeightsMb"]),
                load_time=_read_number(each["LoadS"]),
                adapters=_read_integer(each.get("Adapters", 0)),
                adapter_mb=_read_number(each.get("AdapterMb", 0.0)),
            )
            for each in engine["Models"]
        ),
    )


def _decode_limits(limits: Document) -> ClientLimits:
    return ClientLimits(
        header_bytes=_read_integer(limits["HeaderBytes"]),
        body_bytes=_read_integer(limits["BodyBytes"]),
        header_timeout=_read_milliseconds(limits["HeaderTimeoutMs"]),
        idle_timeout=_read_milliseconds(limits["IdleTimeoutMs"]),
    )


def decode_endpoint(name: str, entry: Document) -> Endpoint:
    """Return the endpoint that an entry describes; raises ``MalformedDocument``.

    Entries may be written by other parties, so every value used later is validated.
    """
    try:
        address = read_address(read_text(entry["Address"]))
        return Endpoint(
            id=EndpointId(read_text(name)),
            service=ServiceName(read_text(entry["Service"])),
            # Names are not resolved: the host must be an IPv4 address.
            host=str(IPv4Address(address.host)),
            port=read_count(address.port, maximum=MAX_PORT),
            data_centre=read_text(entry["Zone"]),
            slots=read_count(entry["Slots"]),
            leaving=_STATES[read_text(entry["State"])],
            # "Sequence" is not decoded: in an entry it counts heartbeats, unlike the
            # field of that name in an engine's report.
            weights=decode_weights(entry.get("Models") or ()),
            start_time_ms=read_start_time(entry),
            software=_read_software(entry),
        )
    except FORMAT_ERRORS as error:
        raise MalformedDocument(
            f"endpoint {shorten(name)}: {describe_error(error)}"
        ) from error


def _read_software(entry: Document) -> SoftwareVersion:
    """Return the version of an endpoint's software, empty if it names none."""
    version = entry.get("Version")
    return SoftwareVersion(read_text(version) if version else "")


def read_start_time(document: Document) -> int:
    """Return the start time of an endpoint in Unix milliseconds, or 0 if it is absent.

    Raises ``TypeError`` or ``ValueError`` for anything but an integer.
    """
    start_time_ms = document.get("born", 0)
    return read_count(start_time_ms, minimum=0, maximum=MAX_START_TIME_MS)


def decode_weights(models: Any) -> dict[WeightsKey, int]:
    """Return the versions of the models and adapters that an engine reports."""
    versions: dict[WeightsKey, int] = {}
    for model in models:
        name = read_text(model["Name"])
        versions[WeightsKey(name)] = read_count(model.get("Version", 1), minimum=0)
        for listed in model.get("Adapters") or ():
            adapter, _, version = read_text(listed).rpartition("@")
            key = WeightsKey(name, read_text(adapter))
            versions[key] = read_digits(version)
    return versions


def decode_version(document: Document) -> tuple[WeightsKey, int]:
    """Return the weights that a new version belongs to, and its number."""
    try:
        adapter = document.get("Adapter")
        key = WeightsKey(
            read_text(document["Model"]), read_text(adapter) if adapter else ""
        )
        return key, read_count(document["Version"], minimum=0)
    except FORMAT_ERRORS as error:
        raise MalformedDocument(f"version: {describe_error(error)}") from error
