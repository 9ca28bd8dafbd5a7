"""HTTP client of plain services: reports and calls."""

from typing import Final

from aiohttp import ClientError, ClientSession
from aiohttp.client_exceptions import ClientConnectorError

from kestreltally.endpoints.answers import HttpAnswer
from kestreltally.endpoints.engines import HEADER_ATTEMPT, fetch_report, raise_refusal
from kestreltally.entities.endpoints import EndpointReport
from kestreltally.ports import (
    AnswerHead,
    AttemptLost,
    NotStarted,
    ServiceCall,
)

HEADER_NOT_RUN: Final = "X-Not-Run"


class HttpServiceClient:
    """Implements the port ``ServiceClient``."""

    def __init__(self, session: ClientSession) -> None:
        self._session = session

    async def report(self, endpoint: str, url: str) -> EndpointReport | None:
        """Return a report if the service answers; it says whether it is leaving."""
        return await fetch_report(self._session, endpoint, url)

    async def call(self, url: str, call: ServiceCall) -> HttpAnswer:
        """Send a request; raises ``EndpointError``.

        A service that did not run the request sets the header ``X-Not-Run``.
        """
        headers = {**call.headers, HEADER_ATTEMPT: call.attempt}
        try:
            response = await self._session.request(
                call.method,
                f"{url}{call.path}",
                data=call.body or None,
                headers=headers,
                allow_redirects=False,
            )
        except ClientConnectorError as error:
            raise NotStarted(str(error)) from error
        except ClientError as error:
            raise AttemptLost(repr(error)) from error
        if HEADER_NOT_RUN in response.headers:
            await raise_refusal(response, frozenset({response.status}))
        head = AnswerHead(
            attempt=response.headers.get(HEADER_ATTEMPT, call.attempt),
            adapter="",
            status=response.status,
            headers=dict(response.headers),
        )
        return HttpAnswer(response, head)
