"""Admission of requests, by their organisation's key and quota."""

import logging
from collections.abc import Awaitable, Callable
from hashlib import blake2b
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.identity import IdentityCheck
from kestreltally.entry.request import ClientRequest, Refused
from kestreltally.fleet.model import OrganisationName, Quota, Seconds
from kestreltally.quotas.limiters import Limiter
from kestreltally.quotas.order import Ask, Verdict
from kestreltally.quotas.spending import Keeper

LOG = logging.getLogger("kestreltally.gate")

TOO_MANY_REQUESTS: Final = 429
# Clients honour a told time up to this fraction of the time that they have left.
PATIENT_FRACTION: Final = 1.0 / 3.0
CONTENT_BYTES: Final = 8


class Gate:
    """Admits requests by their organisation's key and quota.

    ``ask_keeper`` returns the verdict of a keeper, None if it does not answer.
    """

    def __init__(self, identity: IdentityCheck, limiter: Limiter) -> None:
        self.identity = identity
        self._limiter = limiter
        self.ask_keeper: Callable[[Keeper, Ask], Awaitable[Verdict | None]] | None = (
            None
        )

    async def admit(self, request: ClientRequest) -> None:
        """Count a request against its quota; raises ``Refused`` over the quota."""
        name, quota = request.organisation_name, _get_quota(request)
        if name is None or quota is None:
            return
        units = quota.measure(request.head.tokens)
        verdict = await self._ask(request, name, units)
        if verdict is None:
            wait = self._limiter.grant(name, quota, units)
            verdict = Verdict(granted=wait is None, wait=wait or 0.0)
        else:
            self._limiter.record_kept(name, quota, units, granted=verdict.granted)
        if verdict.granted:
            return
        log_decision(
            LOG,
            Decision.QUOTA_USED_UP,
            request=request.head.id,
            organisation=name,
            units=units,
            wait=round(verdict.wait, 3),
            reserved=verdict.reserved,
            patience=round(_compute_patience(request), 3),
        )
        raise Refused(
            TOO_MANY_REQUESTS,
            f"quota of organisation {name} exhausted",
            verdict.wait,
        )

    async def _ask(
        self, request: ClientRequest, name: OrganisationName, units: int
    ) -> Verdict | None:
        """Return the keeper's verdict, None if there is no keeper or no answer."""
        keeper = self._limiter.find_keeper(name)
        if keeper is None or self.ask_keeper is None:
            return None
        content = _compute_content(request)
        patience = _compute_patience(request)
        return await self.ask_keeper(keeper, Ask(name, content, units, patience))

    def refund(self, request: ClientRequest) -> None:
        """Return the units that were counted for a request that has not run."""
        name, quota = request.organisation_name, _get_quota(request)
        if name is not None and quota is not None:
            units = quota.measure(request.head.tokens)
            self._limiter.refund(name, units, request.arrived_at)


def _get_quota(request: ClientRequest) -> Quota | None:
    organisation = request.organisation
    return organisation.quota if organisation is not None else None


def _compute_patience(request: ClientRequest) -> Seconds:
    """Return how long the client waits before it returns, at most."""
    return PATIENT_FRACTION * (request.head.deadline or request.route.timeout)


def _compute_content(request: ClientRequest) -> int:
    """Return a digest by which a request is known again when its client returns."""
    digest = blake2b(request.path.encode(), digest_size=CONTENT_BYTES)
    digest.update(str(request.head.weights).encode())
    digest.update(request.body)
    return int.from_bytes(digest.digest(), "big", signed=True)
