"""Reads the settings file that the platform provides for each process."""

import json
import math
import os
import reprlib
from pathlib import Path
from typing import Any, Final

from kestreltally.deployment import (
    DEFAULT_HEARTBEAT,
    Bounds,
    Deployment,
    MachineCapacity,
    SocketAddress,
)
from kestreltally.features import read_features
from kestreltally.fleet.model import Seconds
from kestreltally.quotas.grants import QuotaBounds
from kestreltally.values import read_digits

PATH_VARIABLE: Final = "KESTRELTALLY_CONFIG"
DEFAULT_PATH: Final = "/etc/kestreltally/local.json"
# The metrics port is configured in deploy/system.toml, which also sets this variable.
METRICS_VARIABLE: Final = "KESTRELTALLY_METRICS_PORT"
# Names the features that are switched off, separated by commas.
DISABLED_VARIABLE: Final = "KESTRELTALLY_DISABLED"
MILLISECONDS: Final = 1000.0
MEGABYTE: Final = 10**6


class InvalidDeployment(ValueError):
    """The settings file is invalid; the message names file, key and reason."""


def get_settings_path() -> Path:
    """Return the path of the settings file that the platform specifies."""
    return Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def load_deployment(path: Path) -> Deployment:
    """Read the settings file; raises ``InvalidDeployment``."""
    try:
        content = json.loads(path.read_bytes())
    except (OSError, RecursionError, ValueError) as error:
        raise InvalidDeployment(f"{path}: cannot be read: {error}") from error
    try:
        return _decode(content)
    except KeyError as error:
        raise InvalidDeployment(f"{path}: {error.args[0]} is missing") from error
    except (TypeError, ValueError, IndexError) as error:
        raise InvalidDeployment(f"{path}: {error}") from error


def _decode(content: dict[str, Any]) -> Deployment:
    first_internal, last_internal = content["InternalPorts"]
    metrics_port = os.environ.get(METRICS_VARIABLE, last_internal)
    listen = content["Listen"]
    return Deployment(
        vm=content["NodeName"],
        data_centre=content["Zone"],
        data_centres=tuple(sorted({*content["Zones"], content["Zone"]})),
        clients=read_address(listen["Front"]),
        readiness=read_address(listen["Ready"]),
        peers=SocketAddress(content["IpAddress"], first_internal),
        metrics_port=int(metrics_port),
        store=read_address(content["Platform"]["Address"]),
        machine_capacity=_decode_machine_capacity(content["Limits"]),
        bounds=_decode_bounds(content["Bounds"]),
        first_start=bool(content.get("FirstStart")),
        heartbeat=_decode_heartbeat(content),
        forwarding_port=first_internal + 1,
        features=read_features(os.environ.get(DISABLED_VARIABLE, "")),
    )


def _decode_heartbeat(content: dict[str, Any]) -> Seconds:
    if "HeartbeatMs" not in content:
        return DEFAULT_HEARTBEAT
    heartbeat = float(content["HeartbeatMs"]) / MILLISECONDS
    if not 0.0 < heartbeat < math.inf:
        raise ValueError(f"HeartbeatMs: {content['HeartbeatMs']!r} is not positive")
    return heartbeat


def _decode_machine_capacity(limits: dict[str, Any]) -> MachineCapacity:
    # "Cores" is not a number of cores, but the speed of the single core as a multiple.
    cores = float(limits["CpuShare"]) * float(limits["Cores"])
    return MachineCapacity(
        cores=cores,
        link_mbps=float(limits["LinkMbps"]),
        memory=int(float(limits.get("MemoryMb", 0)) * MEGABYTE),
        descriptors=int(limits.get("FileDescriptors", 0)),
    )


def _decode_bounds(bounds: dict[str, Any]) -> Bounds:
    strict = bool(bounds.get("StrictRevocation"))
    return Bounds(
        drain=bounds["DrainMs"] / MILLISECONDS,
        grace=float(bounds["GraceS"]),
        configuration=bounds["ConfigurationMs"] / MILLISECONDS,
        lease=bounds["LeaseMs"] / MILLISECONDS,
        version=bounds["version_ms"] / MILLISECONDS,
        load_window=float(bounds["CeilingWindowS"]),
        load_overage=float(bounds["CeilingOverage"]),
        retry_ratio=float(bounds["BudgetRatio"]),
        retry_window=float(bounds["BudgetWindowS"]),
        retry_slack=float(bounds["BudgetSlack"]),
        revocation=bounds["RevocationMs"] / MILLISECONDS if strict else None,
        quota=_decode_quota_bounds(bounds),
    )


def _decode_quota_bounds(bounds: dict[str, Any]) -> QuotaBounds:
    if "QuotaWindowS" not in bounds:
        return QuotaBounds()
    return QuotaBounds(
        window=float(bounds["QuotaWindowS"]),
        overage=float(bounds["QuotaOverage"]),
        slack=float(bounds["QuotaSlack"]),
    )


def read_address(text: str) -> SocketAddress:
    """Read ``HOST:PORT``; raises ``ValueError``."""
    host, colon, port = text.rpartition(":")
    if not colon:
        raise ValueError(f"{reprlib.repr(text)} is not HOST:PORT")
    return SocketAddress(host, read_digits(port))
