"""The record that a leader keeps in the store for processes that start again."""

from dataclasses import dataclass
from typing import Any

from kestreltally.fleet.model import ServiceName, SoftwareVersion
from kestreltally.platform.store import UNKNOWN_ERA

Software = tuple[ServiceName, SoftwareVersion]


class MalformedRecord(Exception):
    """An object in the store is not a record of a leader."""


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
        if not isinstance(content, dict):
            raise MalformedRecord("content is not an object")
        daemons = content.get("daemons")
        if not isinstance(daemons, int) or daemons <= 0:
            raise MalformedRecord("number of daemons is not a positive number")
        if "software" not in content:
            return cls(daemons)
        era = content.get("era")
        if not isinstance(era, int):
            raise MalformedRecord("era is not a whole number")
        return cls(daemons, _decode_software(content["software"]), era)


def _decode_software(rows: Any) -> frozenset[Software]:
    if not isinstance(rows, list):
        raise MalformedRecord("software is not a list")
    software = set()
    for row in rows:
        match row:
            case [str(service), str(version)]:
                software.add((ServiceName(service), SoftwareVersion(version)))
            case _:
                raise MalformedRecord("software is not a list of pairs of strings")
    return frozenset(software)
