"""A request on its way, its attempts, and where its answer goes."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from kestreltally.entities.configuration import Caller
from kestreltally.entities.ids import (
    AdapterVersion,
    EndpointId,
    Priority,
    RequestId,
    Revision,
    Seconds,
)
from kestreltally.ports import AnswerHead, ServiceCall


class Sink(Protocol):
    """Where the answer goes."""

    async def start(self, head: AnswerHead) -> None:
        """Tell the caller that an answer comes."""

    async def send(self, data: bytes) -> None:
        """Hand bytes of the answer on."""

    @property
    def is_buffered(self) -> bool:
        """Tell whether nothing reaches the caller before the end."""

    def discard(self) -> None:
        """Drop what was held back: the answer starts anew."""


@dataclass(frozen=True)
class CallerRequest:
    """A request as it was received, checked for form and judged by one revision.

    ``call`` is set for plain services, ``payload`` for engines.
    """

    request: RequestId
    caller: Caller
    adapter: AdapterVersion
    candidates: tuple[EndpointId, ...]
    priority: Priority
    repeatable: bool
    received_at: Seconds
    deadline_at: Seconds
    revision: Revision
    path: str
    payload: Mapping[str, Any] = field(default_factory=dict)
    call: ServiceCall | None = None


class AttemptEnd(Enum):
    """How one attempt ended."""

    COMPLETE = "whole"
    NOT_RUN = "not run"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The end of one attempt; ``avoid_endpoint`` asks to avoid the endpoint."""

    end: AttemptEnd
    fault: str = ""
    avoid_endpoint: bool = False
    retry_after: Seconds = 0.0


@dataclass
class RequestProgress:
    """What has happened to a request so far."""

    possibly_run_attempts: int = 0
    attempts: int = 0
    answer_started: bool = False
    avoid: frozenset[EndpointId] = frozenset()
    token_ids: tuple[int, ...] = ()
    cannot_resume: bool = False
