"""A request being served, its attempts, and the sink that receives its answer."""

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
    """Receives the answer to a request."""

    async def start(self, head: AnswerHead) -> None:
        """Start the answer with its status and headers."""

    async def send(self, data: bytes) -> None:
        """Pass on bytes of the answer."""

    @property
    def is_buffered(self) -> bool:
        """Return whether the caller receives nothing before the answer is complete."""

    def discard(self) -> None:
        """Discard the buffered bytes, because the answer restarts."""


@dataclass(frozen=True)
class CallerRequest:
    """A validated request, checked against the rules of one configuration revision.

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
    """The outcome of one attempt."""

    COMPLETE = "whole"
    NOT_RUN = "not run"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of one attempt.

    ``avoid_endpoint`` excludes the endpoint from later attempts of the request.
    """

    end: AttemptEnd
    fault: str = ""
    avoid_endpoint: bool = False
    retry_after: Seconds = 0.0


@dataclass
class RequestProgress:
    """The progress of a request over all its attempts.

    ``possibly_run_attempts`` counts the attempts that were sent and not confirmed as
    not run; ``token_ids`` are those already delivered, from which an engine resumes.
    """

    possibly_run_attempts: int = 0
    attempts: int = 0
    answer_started: bool = False
    avoid: frozenset[EndpointId] = frozenset()
    token_ids: tuple[int, ...] = ()
    cannot_resume: bool = False
