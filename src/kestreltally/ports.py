"""Narrow ports to everything outside a daemon.

The true object API, VM list, endpoints and network may have other shapes than
the stand-ins: changing one touches the one module that implements its port.
"""

from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from result import Result

from kestreltally.entities.endpoints import EndpointReport
from kestreltally.entities.ids import AdapterVersion, AttemptId, Seconds
from kestreltally.entities.members import ListedVm
from kestreltally.orders import OrderOutcome
from kestreltally.peers.messages import Envelope


class PlatformError(Exception):
    """A service of the platform did not do what was asked."""


class ObjectApiDown(PlatformError):
    """The object API surely took nothing of the call."""


class AnswerLost(PlatformError):
    """The answer did not come: the write may have taken effect."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object as the object API holds it; version 0 means there is none."""

    key: str
    value: Any
    version: int
    revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """Objects under a prefix, as of ``revision``."""

    revision: int
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class Conflict:
    """A conditional write did not apply; ``current`` is what is there."""

    current: StoredObject


class ObjectApi(Protocol):
    """The platform's object API. Calls raise ``ObjectApiDown``."""

    async def read(self, key: str) -> StoredObject:
        """Return the object; version 0 when there is none."""

    async def list(self, prefix: str) -> Listing:
        """Return all objects under a prefix."""

    async def write(
        self,
        key: str,
        value: Any,
        expected_version: int | None,
    ) -> Result[StoredObject, Conflict]:
        """Write if the version is the expected one (0: none there; none: any).

        Raises ``AnswerLost`` when it may have been written.
        """

    async def delete(self, key: str, expected_version: int) -> bool:
        """Delete if the version is the expected one; tell whether it was."""

    async def watch(self, prefix: str, after: int, wait: Seconds) -> Listing:
        """Wait for changes after a revision; return none when ``wait`` is over."""


class VmList(Protocol):
    """The platform's list of VMs."""

    async def fetch(self) -> tuple[ListedVm, ...]:
        """Return the list; raises ``PlatformError``."""


class EndpointError(Exception):
    """An endpoint did not serve an attempt."""


class NotStarted(EndpointError):
    """No byte of the attempt reached the endpoint."""


class EndpointRefused(EndpointError):
    """The endpoint said that it did not run the attempt, and why."""

    def __init__(self, reason: str, retry_after: Seconds = 0.0) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after = retry_after


class AttemptLost(EndpointError):
    """The attempt may have run; its answer did not come whole."""


@dataclass(frozen=True, slots=True)
class EngineAttempt:
    """One try of one request at one engine."""

    attempt: AttemptId
    adapter: AdapterVersion
    path: str
    payload: Mapping[str, Any]
    priority: int
    fence: int
    resume_token_ids: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """What an endpoint says before its answer."""

    attempt: str
    adapter: str
    status: int = 200
    headers: Mapping[str, str] | None = None


class Answer(Protocol):
    """An answer under way."""

    @property
    def head(self) -> AnswerHead:
        """Return what the endpoint said first."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the bytes as they come; raises ``AttemptLost`` when cut."""

    async def close(self) -> None:
        """Stop reading; an unfinished answer is cancelled at the endpoint."""


class EngineClient(Protocol):
    """Model engines: orders, reports and attempts."""

    async def raise_fence(self, url: str, token: int) -> OrderOutcome:
        """Make the engine refuse orders with a smaller token."""

    async def load(
        self,
        url: str,
        adapter: AdapterVersion,
        token: int,
    ) -> OrderOutcome:
        """Load an adapter version; returns when it is loaded or has failed."""

    async def unload(
        self,
        url: str,
        adapter: AdapterVersion,
        token: int,
    ) -> OrderOutcome:
        """Unload an adapter version."""

    async def report(self, endpoint: str, url: str) -> EndpointReport | None:
        """Return the engine's report, or none."""

    async def start(self, url: str, attempt: EngineAttempt) -> Answer:
        """Send an attempt; raises ``EndpointError``."""


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """One try of one request at one plain service."""

    attempt: AttemptId
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class ServiceClient(Protocol):
    """Plain services."""

    async def report(self, endpoint: str, url: str) -> EndpointReport | None:
        """Return whether the service is there and whether it is leaving."""

    async def call(self, url: str, call: ServiceCall) -> Answer:
        """Send a request; raises ``EndpointError``."""


class PeerTransport(Protocol):
    """The way to other daemons."""

    async def send(self, host: str, port: int, envelope: Envelope) -> bool:
        """Send messages; tell whether the other side took them."""
