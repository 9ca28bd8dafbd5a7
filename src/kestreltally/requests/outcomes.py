"""Outcomes reported to callers, and the HTTP status of each refusal."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from kestreltally.entities.ids import Seconds
from kestreltally.orders import RefusalReason


class Outcome(Enum):
    """Whether a request ran: completely, definitely not, or possibly."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


STATUS_OF_REASON: Final = {
    RefusalReason.NOT_ALLOWED: 403,
    RefusalReason.UNKNOWN_ADAPTER: 404,
    RefusalReason.UNKNOWN_KEY: 401,
    RefusalReason.MALFORMED: 400,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.CALLER_LIMIT: 429,
    RefusalReason.DAEMON_LIMIT: 503,
    RefusalReason.DEADLINE: 504,
    RefusalReason.NO_ENDPOINT: 503,
    RefusalReason.OVERLOADED: 503,
    RefusalReason.STALE_CONFIGURATION: 503,
    RefusalReason.DUPLICATE: 409,
    RefusalReason.CLAIMS_UNAVAILABLE: 503,
    RefusalReason.STOPPING: 503,
    RefusalReason.ENDPOINT_FAILED: 502,
    RefusalReason.CUT_OFF: 502,
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request got no complete answer.

    ``retry_after`` is in seconds; zero means that the caller should not retry.
    """

    reason: RefusalReason
    outcome: Outcome
    message: str
    retry_after: Seconds = 0.0
