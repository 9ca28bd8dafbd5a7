"""Narrow ports to everything outside a daemon.

The production object API, VM list, endpoints and network may differ from the stand-ins;
adapting to one changes only the module that implements its port.
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
    """A call to a service of the platform failed."""


class ObjectApiDown(PlatformError):
    """The object API definitely did not apply the call."""


class AnswerLost(PlatformError):
    """No answer was received: the write may have been applied."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object as stored by the object API; version 0 means it does not exist."""

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
    """A conditional write was not applied; ``current`` is the stored object."""

    current: StoredObject


class ObjectApi(Protocol):
    """The platform's object API. Calls raise ``ObjectApiDown``."""

    async def read(self, key: str) -> StoredObject:
        """Return the object, with version 0 if it does not exist."""

    async def list(self, prefix: str) -> Listing:
        """Return all objects under a prefix."""

    async def write(
        self,
        key: str,
        value: Any,
        expected_version: int | None,
    ) -> Result[StoredObject, Conflict]:
        """Write if the stored version is the expected one (0: no object; None: any).

        Raises ``AnswerLost`` if the object may have been written.
        """

    async def delete(self, key: str, expected_version: int) -> bool:
        """Delete if the stored version is the expected one; return whether it was."""

    async def watch(self, prefix: str, after: int, wait: Seconds) -> Listing:
        """Wait for changes after a revision; after ``wait`` return an empty listing."""


class VmList(Protocol):
    """The platform's list of VMs."""

    async def fetch(self) -> tuple[ListedVm, ...]:
        """Return the list; raises ``PlatformError``."""


class EndpointError(Exception):
    """An endpoint did not serve an attempt."""


class NotStarted(EndpointError):
    """No byte of the attempt reached the endpoint."""


class EndpointRefused(EndpointError):
    """The endpoint did not run the attempt, and gave a reason."""

    def __init__(self, reason: str, retry_after: Seconds = 0.0) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after = retry_after


class AttemptLost(EndpointError):
    """The attempt may have run; its answer was not received completely."""


@dataclass(frozen=True, slots=True)
class EngineAttempt:
    """One attempt to run a request on an engine."""

    attempt: AttemptId
    adapter: AdapterVersion
    path: str
    payload: Mapping[str, Any]
    priority: int
    fence: int
    resume_token_ids: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The status and headers that an endpoint sends before the body of its answer."""

    attempt: str
    adapter: str
    status: int = 200
    headers: Mapping[str, str] | None = None


class Answer(Protocol):
    """An answer that is being received."""

    @property
    def head(self) -> AnswerHead:
        """Return the answer's status and headers."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield bytes as they arrive; raises ``AttemptLost`` if they end early."""

    async def close(self) -> None:
        """Stop reading; an unfinished answer is cancelled at the endpoint."""


class EngineClient(Protocol):
    """A client of model engines: orders, reports and attempts."""

    async def raise_fence(self, url: str, token: int) -> OrderOutcome:
        """Make the engine refuse orders with a smaller token."""

    async def load(
        self,
        url: str,
        adapter: AdapterVersion,
        token: int,
    ) -> OrderOutcome:
        """Load an adapter version; return once it is loaded or has failed."""

    async def unload(
        self,
        url: str,
        adapter: AdapterVersion,
        token: int,
    ) -> OrderOutcome:
        """Unload an adapter version."""

    async def report(self, endpoint: str, url: str) -> EndpointReport | None:
        """Return the engine's report, or None."""

    async def start(self, url: str, attempt: EngineAttempt) -> Answer:
        """Send an attempt; raises ``EndpointError``."""


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """One attempt to run a request on a plain service."""

    attempt: AttemptId
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class ServiceClient(Protocol):
    """A client of plain services."""

    async def report(self, endpoint: str, url: str) -> EndpointReport | None:
        """Return a report if the service answers; it says whether it is leaving."""

    async def call(self, url: str, call: ServiceCall) -> Answer:
        """Send a request; raises ``EndpointError``."""


class PeerTransport(Protocol):
    """The transport to other daemons."""

    async def send(self, host: str, port: int, envelope: Envelope) -> bool:
        """Send messages; return whether the peer accepted them."""
