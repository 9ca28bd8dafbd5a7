"""Claims of request ids: a non-repeatable request runs at most once in all daemons.

Before the request is sent, a daemon claims its id by creating an object that only one
daemon can create. While the object API is unavailable, such requests are refused.
"""

import asyncio
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Final

import msgspec
from result import Err, Ok, Result
from xxhash import xxh3_128_hexdigest

from kestreltally.entities.ids import RequestId, Seconds
from kestreltally.orders import RefusalReason
from kestreltally.ports import (
    AnswerLost,
    Conflict,
    ObjectApi,
    ObjectApiDown,
    PlatformError,
    StoredObject,
)
from kestreltally.requests.outcomes import Outcome, Refusal

LOG = logging.getLogger("kestreltally.claims")
CLAIM_PREFIX: Final = "claim/"
READ_BACK_ATTEMPTS: Final = 3
READ_BACK_WAIT: Final[Seconds] = 0.1
RETRY_AFTER: Final[Seconds] = 2.0
RELEASE_TIMEOUT: Final[Seconds] = 1.0


@dataclass(frozen=True)
class ClaimValue:
    """The stored form of a claim; ``at`` is in seconds since 1970."""

    caller: str
    request: str
    claimant: str
    at: float
    released: bool = False


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim held by this daemon."""

    key: str
    value: ClaimValue
    version: int


def make_claim_key(caller: str, request: RequestId) -> str:
    """Return the object key for the claim of a caller's request id."""
    return CLAIM_PREFIX + xxh3_128_hexdigest(f"{caller}\0{request}".encode())


def _parse_value(stored: StoredObject) -> ClaimValue | None:
    try:
        return msgspec.convert(stored.value, ClaimValue)
    except msgspec.ValidationError:
        return None


def _make_unavailable_refusal(message: str) -> Err[Refusal]:
    return Err(
        Refusal(
            reason=RefusalReason.CLAIMS_UNAVAILABLE,
            outcome=Outcome.NOT_RUN,
            message=message,
            retry_after=RETRY_AFTER,
        )
    )


def _make_duplicate_refusal() -> Err[Refusal]:
    return Err(
        Refusal(
            reason=RefusalReason.DUPLICATE,
            outcome=Outcome.UNKNOWN,
            message="the request id was already used; the earlier request may have run",
        )
    )


class Claims:
    """Claims and releases request ids through the object API."""

    def __init__(
        self,
        objects: ObjectApi,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._objects = objects
        self._wall_clock = wall_clock

    async def claim(
        self,
        caller: str,
        request: RequestId,
        claimant: str,
    ) -> Result[Claim, Refusal]:
        """Claim a request id for ``claimant``, which must be unique to each call."""
        key = make_claim_key(caller, request)
        value = ClaimValue(
            caller=caller,
            request=request,
            claimant=claimant,
            at=self._wall_clock(),
        )
        return await self._write(key, value, expected_version=0)

    async def _write(
        self,
        key: str,
        value: ClaimValue,
        expected_version: int,
    ) -> Result[Claim, Refusal]:
        encoded: Any = msgspec.to_builtins(value)
        try:
            written = await self._objects.write(key, encoded, expected_version)
        except ObjectApiDown:
            return _make_unavailable_refusal(
                "the object API is unavailable; the request id cannot be claimed"
            )
        except AnswerLost:
            return await self._resolve_lost_answer(key, value)
        if isinstance(written, Ok):
            version = written.ok_value.version
            return Ok(Claim(key=key, value=value, version=version))
        return await self._resolve_conflict(key, value, written.err_value)

    async def _resolve_conflict(
        self,
        key: str,
        value: ClaimValue,
        conflict: Conflict,
    ) -> Result[Claim, Refusal]:
        """Take over a released claim; refuse if another claimant holds it."""
        current = conflict.current
        if current.version == 0:
            return await self._write(key, value, expected_version=0)
        existing = _parse_value(current)
        if existing is not None and existing.claimant == value.claimant:
            return Ok(Claim(key=key, value=value, version=current.version))
        if existing is not None and existing.released:
            return await self._write(key, value, expected_version=current.version)
        return _make_duplicate_refusal()

    async def _resolve_lost_answer(
        self, key: str, value: ClaimValue
    ) -> Result[Claim, Refusal]:
        """Read back whether a write took effect whose answer was lost.

        The write may still be applied after the read. The id then stays claimed and
        cannot be claimed again, which is safe.
        """
        for _ in range(READ_BACK_ATTEMPTS):
            try:
                stored = await self._objects.read(key)
            except PlatformError:
                await asyncio.sleep(READ_BACK_WAIT)
                continue
            existing = _parse_value(stored) if stored.version else None
            if existing is not None and existing.claimant == value.claimant:
                return Ok(Claim(key=key, value=value, version=stored.version))
            if stored.version and (existing is None or not existing.released):
                return _make_duplicate_refusal()
            break
        return _make_unavailable_refusal(
            "the request id may or may not be claimed: the answer was lost"
        )

    async def release(self, claim: Claim) -> None:
        """Release the claim of a request that definitely did not run.

        If that fails, the id stays claimed, which is safe.
        """
        encoded: Any = msgspec.to_builtins(replace(claim.value, released=True))
        try:
            await asyncio.wait_for(
                self._objects.write(claim.key, encoded, claim.version),
                RELEASE_TIMEOUT,
            )
        except (PlatformError, TimeoutError) as error:
            LOG.warning("claims: cannot release %s: %s", claim.value.request, error)

    async def sweep(self, retention: Seconds) -> int:
        """Delete claims older than ``retention`` seconds; return their number."""
        listing = await self._objects.list(CLAIM_PREFIX)
        deleted = 0
        for stored in listing.objects:
            existing = _parse_value(stored)
            if existing is None or self._wall_clock() - existing.at <= retention:
                continue
            if await self._objects.delete(stored.key, stored.version):
                deleted += 1
        return deleted
