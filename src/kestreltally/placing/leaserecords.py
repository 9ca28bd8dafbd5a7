"""The stored record of a lease, and observations of it."""

from dataclasses import dataclass
from typing import Any

from kestreltally.fleet.model import Seconds
from kestreltally.platform.store import UNKNOWN_ERA, Revision


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
        """Decode a record; raises ``TypeError`` if it has another form."""
        return cls(**content)


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
