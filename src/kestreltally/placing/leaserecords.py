"""The stored record of a lease, and observations of it."""

import logging
from dataclasses import dataclass
from typing import Any, Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.fleet.model import Seconds
from kestreltally.platform.store import UNKNOWN_ERA, Revision, StoredObject
from kestreltally.values import (
    FORMAT_ERRORS,
    MAX_COUNT,
    MalformedRecord,
    describe_error,
    read_address,
    read_count,
    read_finite,
    read_flag,
    read_text,
)

LOG = logging.getLogger("kestreltally.lease")

# The feed has 64 bits for a fence; this leaves as many again for later holders.
MAX_FENCE: Final = 2**62
# Above any gap between two holders that operators ask for.
MAX_QUIET: Final[Seconds] = 3600.0


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The content of the lease's object.

    ``quiet`` is how long after this write the holder still gives no orders, and
    ``released`` means that it gives no more at all. ``era`` is the era of the store at
    the time of the write.
    """

    holder: str
    boot: str
    host: str
    port: int
    fence: int
    renewals: int
    quiet: Seconds
    released: bool = False
    era: int = UNKNOWN_ERA

    @classmethod
    def decode(cls, content: Any) -> "LeaseRecord":
        """Decode a record; raises ``MalformedRecord``."""
        try:
            host, port = read_address(content["host"], content["port"])
            return cls(
                holder=read_text(content["holder"]),
                boot=read_text(content["boot"]),
                host=host,
                port=port,
                fence=read_count(content["fence"], minimum=0, maximum=MAX_FENCE),
                renewals=read_count(content["renewals"], minimum=0, maximum=MAX_FENCE),
                quiet=min(MAX_QUIET, read_finite(content["quiet"], minimum=0.0)),
                released=read_flag(content.get("released", False)),
                era=read_count(
                    content.get("era", UNKNOWN_ERA),
                    minimum=UNKNOWN_ERA,
                    maximum=MAX_COUNT,
                ),
            )
        except FORMAT_ERRORS as error:
            raise MalformedRecord(f"lease: {describe_error(error)}") from error


class RecordReader:
    """Reads a lease's record; each revision that is malformed is logged once."""

    def __init__(self) -> None:
        self._rejected: Revision | None = None

    def read(self, stored: StoredObject) -> LeaseRecord | None:
        """Return the record in an object, None if it is malformed."""
        try:
            return LeaseRecord.decode(stored.content)
        except MalformedRecord as error:
            if stored.revision != self._rejected:
                self._rejected = stored.revision
                log_decision(
                    LOG, Decision.LEASE_NOT_READ, lease=stored.name, reason=str(error)
                )
            return None


@dataclass(slots=True)
class ObservedRevision:
    """A revision of the lease and when this daemon first knew of it."""

    revision: Revision
    since: Seconds


@dataclass(frozen=True, slots=True)
class Absence:
    """Since when the store is known to hold no record, within one era."""

    era: int
    since: Seconds
