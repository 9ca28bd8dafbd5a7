"""This daemon's refusals: a status that promises something needs the proof of it."""

from dataclasses import dataclass

from kestreltally.entry.progress import BAD_GATEWAY
from kestreltally.entry.request import Refused
from kestreltally.entry.sends import PROMISE_STATUSES, NotRunPromise, SendLog
from kestreltally.fleet.model import Seconds


class UnprovenPromise(Exception):
    """A refusal would promise that a request has not run, but nothing proves it."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal as it is answered; ``promise`` is None if the request may have run.

    ``elsewhere``: the cause is this daemon's own, and others may serve the request.
    Raises ``UnprovenPromise``.
    """

    status: int
    reason: str
    retry_after: Seconds | None
    elsewhere: bool
    promise: NotRunPromise | None

    def __post_init__(self) -> None:
        """Check that a status that promises something is proven."""
        if self.status in PROMISE_STATUSES and self.promise is None:
            raise UnprovenPromise(f"status {self.status}: {self.reason}")


def decide_refusal(refused: Refused, sends: SendLog) -> Refusal:
    """Return the answer to a request that is refused.

    One that may have run fails instead of being promised not to have run.
    """
    promise = sends.prove_not_run()
    may_stand = promise is not None or refused.status not in PROMISE_STATUSES
    return Refusal(
        status=refused.status if may_stand else BAD_GATEWAY,
        reason=refused.reason,
        retry_after=refused.retry_after,
        elsewhere=refused.elsewhere,
        promise=promise,
    )
