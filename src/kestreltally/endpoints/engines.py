"""HTTP client of model engines: fenced orders, reports, attempts."""

import asyncio
from typing import Any, Final, NoReturn

import msgspec
from aiohttp import ClientError, ClientResponse, ClientSession, ClientTimeout
from aiohttp.client_exceptions import ClientConnectorError

from kestreltally.endpoints.answers import HttpAnswer
from kestreltally.entities.endpoints import EndpointReport
from kestreltally.entities.ids import (
    AdapterVersion,
    EndpointId,
    Seconds,
    parse_adapter_version,
)
from kestreltally.orders import OrderOutcome
from kestreltally.ports import (
    AnswerHead,
    AttemptLost,
    EndpointRefused,
    EngineAttempt,
    NotStarted,
)
from kestreltally.sessions import read_bounded

REPORT_TIMEOUT: Final[Seconds] = 1.0
FENCE_TIMEOUT: Final[Seconds] = 1.0
# The longest report, refusal or answer to an order.
MAX_REPORT_BYTES: Final = 2**20
STATUS_OK: Final = 200
STATUS_FENCED: Final = 409
NOT_RUN_STATUSES: Final = frozenset({400, 404, 409, 413, 422, 429, 503})
HEADER_ATTEMPT: Final = "X-Attempt-Id"
HEADER_ADAPTER: Final = "X-Adapter-Version"
HEADER_PRIORITY: Final = "X-Priority"
HEADER_FENCE: Final = "X-Fence"
FENCED: Final = "fenced"
# The exceptions that parsing a malformed report may raise.
REPORT_ERRORS: Final = (msgspec.MsgspecError, RecursionError, ValueError)


class ReportBody(msgspec.Struct, frozen=True):
    """The JSON body of an engine's report; ``age`` is its age in seconds."""

    instance: str
    age: float = 0.0
    fence: int = 0
    loaded: list[str] = []
    running: dict[str, int] = {}
    leaving: bool = False


class RefusalBody(msgspec.Struct, frozen=True):
    """The JSON body of an engine's refusal."""

    reason: str = "refused"
    retry_after: float = 0.0


def parse_report(raw: bytes, endpoint: str, asked_at: Seconds) -> EndpointReport:
    """Parse a report; raises one of ``REPORT_ERRORS``."""
    body = msgspec.json.decode(raw, type=ReportBody)
    return EndpointReport(
        endpoint=EndpointId(endpoint),
        instance=body.instance,
        composed_at=asked_at - body.age,
        fence=body.fence,
        loaded=frozenset(parse_adapter_version(name) for name in body.loaded),
        running={
            parse_adapter_version(name): count for name, count in body.running.items()
        },
        leaving=body.leaving,
    )


async def fetch_report(
    session: ClientSession,
    endpoint: str,
    url: str,
) -> EndpointReport | None:
    """Return an endpoint's report, or None if there is no valid answer."""
    asked_at = asyncio.get_running_loop().time()
    try:
        async with session.get(
            f"{url}/report",
            timeout=ClientTimeout(total=REPORT_TIMEOUT),
        ) as response:
            raw = await read_bounded(response, MAX_REPORT_BYTES)
            if response.status != STATUS_OK:
                return None
        return parse_report(raw, endpoint, asked_at)
    except (*REPORT_ERRORS, ClientError, TimeoutError):
        return None


def parse_refusal(raw: bytes) -> RefusalBody:
    """Parse a refusal; a malformed body gives the default refusal."""
    try:
        return msgspec.json.decode(raw, type=RefusalBody)
    except (msgspec.MsgspecError, RecursionError):
        return RefusalBody()


async def raise_refusal(
    response: ClientResponse,
    not_run_statuses: frozenset[int],
) -> NoReturn:
    """Raise the error for an unsuccessful response.

    Only the statuses agreed to mean "not run" are refusals. After any other status, or
    a body that ends early, the attempt may have run.
    """
    try:
        raw = await read_bounded(response, MAX_REPORT_BYTES)
    except ClientError as error:
        raise AttemptLost(repr(error)) from error
    if response.status not in not_run_statuses:
        raise AttemptLost(f"unexpected status {response.status}")
    refusal = parse_refusal(raw)
    raise EndpointRefused(refusal.reason, refusal.retry_after)


class HttpEngineClient:
    """Implements the port ``EngineClient``."""

    def __init__(self, session: ClientSession) -> None:
        self._session = session

    async def _send_order(
        self,
        url: str,
        name: str,
        body: dict[str, Any],
        timeout: Seconds | None = None,
    ) -> OrderOutcome:
        try:
            async with self._session.post(
                f"{url}/orders/{name}",
                json=body,
                timeout=ClientTimeout(total=timeout),
            ) as response:
                raw = await read_bounded(response, MAX_REPORT_BYTES)
                status = response.status
        except ClientConnectorError:
            return OrderOutcome.FAILED
        except (ClientError, TimeoutError):
            return OrderOutcome.UNKNOWN
        if status == STATUS_OK:
            return OrderOutcome.DONE
        if status == STATUS_FENCED and parse_refusal(raw).reason == FENCED:
            return OrderOutcome.FENCED_OFF
        return OrderOutcome.REFUSED

    async def raise_fence(self, url: str, token: int) -> OrderOutcome:
        """Make the engine refuse orders with a smaller token."""
        return await self._send_order(url, "fence", {"token": token}, FENCE_TIMEOUT)

    async def load(
        self,
        url: str,
        adapter: AdapterVersion,
        token: int,
    ) -> OrderOutcome:
        """Load an adapter version; return once it is loaded or has failed."""
        body = {"adapter": str(adapter), "token": token}
        return await self._send_order(url, "load", body)

    async def unload(
        self,
        url: str,
        adapter: AdapterVersion,
        token: int,
    ) -> OrderOutcome:
        """Unload an adapter version."""
        body = {"adapter": str(adapter), "token": token}
        return await self._send_order(url, "unload", body)

    async def report(self, endpoint: str, url: str) -> EndpointReport | None:
        """Return the engine's report, or None."""
        return await fetch_report(self._session, endpoint, url)

    async def start(self, url: str, attempt: EngineAttempt) -> HttpAnswer:
        """Send an attempt; raises ``EndpointError``."""
        body = dict(attempt.payload)
        if attempt.resume_token_ids:
            body["resume_token_ids"] = list(attempt.resume_token_ids)
        headers = {
            HEADER_ATTEMPT: attempt.attempt,
            HEADER_ADAPTER: str(attempt.adapter),
            HEADER_PRIORITY: str(attempt.priority),
            HEADER_FENCE: str(attempt.fence),
        }
        try:
            response = await self._session.post(
                f"{url}{attempt.path}",
                json=body,
                headers=headers,
            )
        except ClientConnectorError as error:
            raise NotStarted(str(error)) from error
        except ClientError as error:
            raise AttemptLost(repr(error)) from error
        if response.status != STATUS_OK:
            await raise_refusal(response, NOT_RUN_STATUSES)
        head = AnswerHead(
            attempt=response.headers.get(HEADER_ATTEMPT, ""),
            adapter=response.headers.get(HEADER_ADAPTER, ""),
        )
        return HttpAnswer(response, head)
