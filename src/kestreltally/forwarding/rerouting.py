"""Decides when a request is passed on to another daemon instead of to an endpoint."""

from collections.abc import Callable
from typing import Final

from aiohttp import web

from kestreltally.entry.backup import Backup
from kestreltally.entry.progress import UNAVAILABLE, Progress, make_final_error
from kestreltally.entry.request import ClientRequest, Refused
from kestreltally.forwarding.forwarder import NO_TARGET_RETRY_DELAY, Forwarder
from kestreltally.reach.contact import Contact

# Endpoints to which no connection opens before a request is passed on while it is not
# known yet whether any is within reach.
MAX_UNREACHED: Final = 2


class Rerouting:
    """Passes requests on while no endpoint is within this daemon's reach.

    ``acquire_retry`` returns whether a request may be sent once more.
    """

    def __init__(
        self, contact: Contact, acquire_retry: Callable[[ClientRequest], bool]
    ) -> None:
        self._contact = contact
        self._acquire_retry = acquire_retry
        # None if this daemon knows no others.
        self.forwarder: Forwarder | None = None

    def is_needed(self, progress: Progress) -> bool:
        """Return whether no endpoint is within reach.

        A daemon whose open channels work passes on only what failed to get one.
        """
        if self._contact.is_doubted and progress.unreached >= MAX_UNREACHED:
            return True
        return self._contact.is_cut_off or (
            progress.unreached > 0 and not self._contact.is_open
        )

    def is_possible(self, request: ClientRequest, progress: Progress) -> bool:
        """Return whether another daemon is to serve a request, and may."""
        if request.forwarded or self.forwarder is None or not self.forwarder.has_target:
            return False
        return self.is_needed(progress)

    async def forward(
        self,
        request: ClientRequest,
        client: web.BaseRequest,
        progress: Progress,
        backup: Backup | None = None,
    ) -> web.StreamResponse:
        """Have a daemon that reaches endpoints serve a request.

        A ``backup`` forwards nothing before it leads.

        Raises ``Refused`` or ``StreamBroken``. What was passed on once is not again.
        """
        if request.forwarded or self.forwarder is None:
            progress.last_fault = "no endpoint within reach"
            raise _make_error(progress)
        if progress.sends and not self._acquire_retry(request):
            raise _make_error(progress)
        return await self.forwarder.forward(request, client, progress, backup)


def _make_error(progress: Progress) -> Exception:
    if progress.runs or progress.response is not None:
        return make_final_error(progress)
    return Refused(
        UNAVAILABLE, progress.last_fault, NO_TARGET_RETRY_DELAY, elsewhere=True
    )
