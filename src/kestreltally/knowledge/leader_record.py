"""The record that a leader keeps in the store for processes that start again."""

from dataclasses import dataclass
from typing import Any, Final

from kestreltally.fleet.model import ServiceName, SoftwareVersion
from kestreltally.platform.store import UNKNOWN_ERA
from kestreltally.values import (
    FORMAT_ERRORS,
    MalformedRecord,
    describe_error,
    read_count,
    read_text,
)

Software = tuple[ServiceName, SoftwareVersion]

# Above the number of daemons of any system.
MAX_DAEMONS: Final = 2**16


@dataclass(frozen=True, slots=True)
class Record:
    """What a leader keeps.

    ``software`` names all versions at which streams that may be taken up can have
    begun, None if the leader may lack one. It holds in the store's era ``era`` only: a
    store that came back from a backup may have lost a later record.
    """

    daemons: int
    software: frozenset[Software] | None = None
    era: int = UNKNOWN_ERA

    def encode(self) -> dict[str, Any]:
        """Return the content of the store's object."""
        content: dict[str, Any] = {"daemons": self.daemons}
        if self.software is not None:
            content["software"] = [list(each) for each in sorted(self.software)]
            content["era"] = self.era
        return content

    @classmethod
    def decode(cls, content: Any) -> "Record":
        """Return the record of an object; raises ``MalformedRecord``."""
        try:
            daemons = read_count(content["daemons"], maximum=MAX_DAEMONS)
            if "software" not in content:
                return cls(daemons)
            era = read_count(content["era"], minimum=UNKNOWN_ERA)
            return cls(daemons, _decode_software(content["software"]), era)
        except FORMAT_ERRORS as error:
            raise MalformedRecord(
                f"record of a leader: {describe_error(error)}"
            ) from error


def _decode_software(rows: Any) -> frozenset[Software]:
    if not isinstance(rows, list):
        raise TypeError("software is not a list")
    return frozenset(decode_software(service, version) for service, version in rows)


def decode_software(service: Any, version: Any) -> Software:
    """Return a service and a version; raises one of ``FORMAT_ERRORS``."""
    return (
        ServiceName(read_text(service)),
        SoftwareVersion(read_text(version, minimum_length=0)),
    )
