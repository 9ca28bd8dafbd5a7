"""The calls to a model engine: reading its report, and sending it orders."""

import json
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

from kestreltally.fleet.model import WeightsKey
from kestreltally.platform.documents import (
    MalformedDocument,
    decode_weights,
    read_start_time,
)
from kestreltally.values import (
    FORMAT_ERRORS,
    describe_error,
    read_count,
    read_text,
)

# An engine accepts fewer orders than this in its life.
MAX_SEQUENCE: Final = 2**62
REPORT_PATH: Final = "/report"
ORDER_PATH: Final = "/order"


class OrderKind(Enum):
    """The operation that an order requests of an engine."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderOutcome(Enum):
    """An engine's answer to an order."""

    IN_FLIGHT = "under way"
    DONE = "done"
    CONFLICT = "conflict"
    STALE_FENCE = "stale fence"
    BAD = "bad"
    ABSENT = "absent"
    UNKNOWN = "unknown"


_OUTCOMES: Final = {
    202: OrderOutcome.IN_FLIGHT,
    200: OrderOutcome.DONE,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.STALE_FENCE,
    400: OrderOutcome.BAD,
    421: OrderOutcome.ABSENT,
}


@dataclass(frozen=True, slots=True)
class Order:
    """An order to an engine, protected by a lease's fence.

    ``sequence`` is the number of orders that the engine must have accepted before.
    """

    kind: OrderKind
    weights: WeightsKey
    holder: str
    fence: int
    sequence: int


@dataclass(frozen=True, slots=True)
class EngineReport:
    """The state that an engine reports, a few hundred milliseconds old.

    ``warm`` names adapters that load quickly because the engine keeps a copy.
    ``start_time_ms`` is in Unix milliseconds, or 0 if the engine does not report it.
    """

    weights: dict[WeightsKey, int]
    loading: frozenset[WeightsKey]
    warm: frozenset[WeightsKey]
    busy: bool
    sequence: int
    running: int
    waiting: int
    start_time_ms: int = 0


def encode_order(order: Order) -> bytes:
    """Return the body of an order."""
    body: dict[str, Any] = {
        "Operation": order.kind.value,
        "Model": order.weights.model,
        "Holder": order.holder,
        "Fence": order.fence,
        # Not a revision of the store, but the engine's count of accepted orders.
        "ExpectedRevision": order.sequence,
    }
    if order.weights.adapter:
        body["Adapter"] = order.weights.adapter
    return json.dumps(body).encode()


def decode_outcome(status: int) -> OrderOutcome:
    """Return the meaning of the status of an answer to an order."""
    return _OUTCOMES.get(status, OrderOutcome.UNKNOWN)


def decode_report(content: bytes) -> EngineReport:
    """Decode an engine's report; raises ``MalformedDocument``."""
    try:
        return _decode_report(json.loads(content))
    except FORMAT_ERRORS as error:
        raise MalformedDocument(f"report: {describe_error(error)}") from error


def decode_start_time(content: bytes) -> int:
    """Return the start time in a report, 0 if absent; raises ``MalformedDocument``."""
    try:
        return read_start_time(json.loads(content))
    except FORMAT_ERRORS as error:
        raise MalformedDocument(f"report: {describe_error(error)}") from error


def _decode_report(report: Any) -> EngineReport:
    return EngineReport(
        weights=decode_weights(report["Models"]),
        loading=frozenset(
            _parse_weights_key(read_text(each)) for each in report.get("Incoming") or ()
        ),
        warm=_parse_available(report.get("Available")),
        busy=bool(report["BusySlots"]),
        sequence=read_count(report["Sequence"], minimum=0, maximum=MAX_SEQUENCE),
        running=int(report["RunningCount"]),
        waiting=int(report["WaitingCount"]),
        start_time_ms=read_start_time(report),
    )


def _parse_weights_key(text: str) -> WeightsKey:
    name = text.rpartition("@")[0] or text
    model, _, adapter = name.partition("/")
    return WeightsKey(model, adapter)


def _parse_available(available: Any) -> frozenset[WeightsKey]:
    if not isinstance(available, dict):
        return frozenset()
    listed = [*(available.get("InMemory") or ()), *(available.get("OnDisk") or ())]
    return frozenset(
        _parse_weights_key(each) for each in listed if isinstance(each, str)
    )
