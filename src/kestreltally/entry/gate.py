"""Admission of requests, by their organisation's key and quota."""

import logging
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.identity import IdentityCheck
from kestreltally.entry.request import ClientRequest, Refused
from kestreltally.fleet.model import Quota
from kestreltally.quotas.limiters import Limiter

LOG = logging.getLogger("kestreltally.gate")

TOO_MANY_REQUESTS: Final = 429


class Gate:
    """Admits requests by their organisation's key and quota."""

    def __init__(self, identity: IdentityCheck, limiter: Limiter) -> None:
        self.identity = identity
        self._limiter = limiter

    def grant(self, request: ClientRequest) -> None:
        """Count a request against its quota; raises ``Refused`` over the quota."""
        name, quota = request.organisation_name, _get_quota(request)
        if name is None or quota is None:
            return
        units = quota.measure(request.head.tokens)
        wait = self._limiter.grant(name, quota, units)
        if wait is None:
            return
        log_decision(
            LOG,
            Decision.QUOTA_USED_UP,
            request=request.head.id,
            organisation=name,
            units=units,
            wait=round(wait, 3),
        )
        raise Refused(
            TOO_MANY_REQUESTS,
            f"quota of organisation {name} exhausted",
            wait,
        )

    def refund(self, request: ClientRequest) -> None:
        """Return the units that were counted for a request that has not run."""
        name, quota = request.organisation_name, _get_quota(request)
        if name is not None and quota is not None:
            self._limiter.refund(name, quota.measure(request.head.tokens))


def _get_quota(request: ClientRequest) -> Quota | None:
    organisation = request.organisation
    return organisation.quota if organisation is not None else None
