"""What the store holds of a lease, and what was seen of it there."""

from dataclasses import dataclass
from typing import Any

from kestreltally.fleet.model import Seconds
from kestreltally.platform.store import UNKNOWN_ERA, Revision


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """What the lease's object says.

    ``quiet`` is how long after this writing the holder still gave no order, and
    ``released`` tells that it will give none any more. ``era`` is that of the store
    as it was written.
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
        """Read a record; raises ``TypeError`` when it has another form."""
        return cls(**content)


@dataclass(slots=True)
class ObservedRevision:
    """A revision of the lease and when it was first known here to exist."""

    revision: Revision
    since: Seconds


@dataclass(frozen=True, slots=True)
class Absence:
    """Since when the store is known to hold no record, in one era of it."""

    era: int
    since: Seconds
