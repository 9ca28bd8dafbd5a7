"""Persists stopped requests and parts in the store, in case all daemons fail at once.

Daemons store nothing on their VMs. Without persistence, each request that crashes
engines would crash three more after every failure of all daemons. Only leaders call the
store: once when they are elected, and once for each change of what is kept.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any, Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.fleet.model import Seconds
from kestreltally.platform.store import (
    UNKNOWN_ERA,
    Conflict,
    Revision,
    Store,
    StoredObject,
    StoreError,
)
from kestreltally.poison.facts import IncarnationName, Sighting
from kestreltally.poison.fingerprints import (
    DIGEST_BYTES,
    SECRET_BYTES,
    Digest,
    Fingerprint,
)
from kestreltally.poison.guard import PoisonGuard
from kestreltally.poison.parts import PART_OUTLINE
from kestreltally.values import (
    FORMAT_ERRORS,
    describe_error,
    read_count,
    read_finite,
    read_flag,
    read_text,
)

LOG = logging.getLogger("kestreltally.poison")

POISON_KIND: Final = "kestreltally-poison"
# An outline is a checksum of 32 bits.
MAX_OUTLINE: Final = 2**32 - 1
POLL_INTERVAL: Final[Seconds] = 0.5
# Delay before the next call after the store has failed.
RETRY_DELAY: Final[Seconds] = 2.0


@dataclass(frozen=True, slots=True)
class Record:
    """What a leader stores: the secret, and the sightings to be kept.

    Its times are Unix seconds, because it outlives the daemons' monotonic clocks.
    """

    secret: bytes
    sightings: tuple[Sighting, ...]

    def encode(self) -> dict[str, Any]:
        """Return the content of the store's object."""
        return {
            "secret": self.secret.hex(),
            "sightings": [
                {
                    "digest": each.fingerprint.digest.hex(),
                    "outline": each.fingerprint.outline,
                    "life": each.incarnation,
                    "sent_at": each.sent_at,
                    "ended_at": each.ended_at,
                    "answered": each.answered,
                    "witness": each.witness,
                    "companions": [other.hex() for other in each.companions],
                }
                for each in self.sightings
            ],
        }

    @classmethod
    def decode(cls, content: Any) -> "Record":
        """Return the record of an object; raises one of ``FORMAT_ERRORS``."""
        return cls(
            _decode_secret(content["secret"]),
            tuple(_decode_sighting(each) for each in content["sightings"]),
        )


def _decode_secret(text: Any) -> bytes:
    secret = bytes.fromhex(text)
    if len(secret) not in (0, SECRET_BYTES):
        raise ValueError(f"a secret of {len(secret)} bytes")
    return secret


def _decode_digest(text: Any) -> Digest:
    digest = bytes.fromhex(text)
    if len(digest) != DIGEST_BYTES:
        raise ValueError(f"a digest of {len(digest)} bytes")
    return Digest(digest)


def _decode_sighting(row: Any) -> Sighting:
    outline = read_count(row["outline"], minimum=PART_OUTLINE, maximum=MAX_OUTLINE)
    return Sighting(
        fingerprint=Fingerprint(outline, _decode_digest(row["digest"])),
        incarnation=IncarnationName(read_text(row["life"])),
        sent_at=read_finite(row["sent_at"]),
        ended_at=read_finite(row["ended_at"]),
        answered=read_flag(row["answered"]),
        witness=read_count(row["witness"], minimum=0),
        companions=tuple(_decode_digest(each) for each in row.get("companions", ())),
    )


class PoisonPersistence:
    """Reads stopped requests when this daemon becomes a leader, and writes changes."""

    def __init__(
        self,
        store: Store,
        poison: PoisonGuard,
        name: str,
        leads: Callable[[], bool],
        clock: Callable[[], Seconds],
        wall_clock: Callable[[], Seconds],
    ) -> None:
        self._store = store
        self._poison = poison
        self._name = name
        self._leads = leads
        self._clock = clock
        self._wall_clock = wall_clock
        self._revision: Revision | None = None
        self._era = UNKNOWN_ERA
        self._stored: frozenset[tuple[Digest, IncarnationName]] | None = frozenset()
        self._has_read = False

    async def run(self) -> None:
        """Synchronize with the store forever."""
        while True:
            await asyncio.sleep(POLL_INTERVAL)
            if not self._leads():
                self._has_read = False
                continue
            try:
                await self._step()
            except StoreError as error:
                log_decision(LOG, Decision.POISON_NOT_KEPT, reason=str(error))
                await asyncio.sleep(RETRY_DELAY)

    async def _step(self) -> None:
        if self._era != self._store.era:
            # The store was restored and may lack the record: write it again.
            self._has_read = False
        if not self._has_read:
            await self._read()
            self._has_read = True
            self._poison.secret.store_checked = True
        sightings = self._poison.register.list_kept()
        stopped_keys = frozenset(
            (each.fingerprint.digest, each.incarnation) for each in sightings
        )
        if stopped_keys != self._stored and await self._write(sightings):
            self._stored = stopped_keys

    async def _read(self) -> None:
        """Apply the records of all leaders."""
        listing = await self._store.list_objects(POISON_KIND)
        self._era = listing.revision.era
        self._revision = None
        for stored in listing.objects:
            if stored.name == self._name:
                self._revision = stored.revision
            self._apply(stored)
        # An existing record of this name is rewritten.
        self._stored = frozenset() if self._revision is None else None

    def _apply(self, stored: StoredObject) -> None:
        try:
            record = Record.decode(stored.content)
        except FORMAT_ERRORS as error:
            log_decision(LOG, Decision.POISON_NOT_KEPT, reason=describe_error(error))
            return
        self._poison.secret.apply(record.secret)
        if record.secret == self._poison.secret.value:
            shift = self._clock() - self._wall_clock()
            self._poison.register.record_reported(_shift(record.sightings, shift))

    async def _write(self, sightings: list[Sighting]) -> bool:
        """Write the stopped requests; return whether they were written."""
        shift = self._wall_clock() - self._clock()
        shifted = tuple(_shift(sightings, shift))
        content = Record(self._poison.secret.value, shifted).encode()
        try:
            if self._revision is None:
                stored = await self._store.create(POISON_KIND, self._name, content)
            else:
                stored = await self._store.replace(
                    POISON_KIND, self._name, self._revision, content
                )
        except Conflict as conflict:
            # Another leader with this name wrote: read its record before a retry.
            self._revision = conflict.current.revision if conflict.current else None
            self._has_read = False
            return False
        self._revision = stored.revision
        return True


def _shift(sightings: Iterable[Sighting], by: Seconds) -> list[Sighting]:
    """Return sightings with their times converted to another clock."""
    return [
        replace(each, sent_at=each.sent_at + by, ended_at=each.ended_at + by)
        for each in sightings
    ]
