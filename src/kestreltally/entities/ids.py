"""Names for the identifiers and units that the tables are keyed by."""

from dataclasses import dataclass
from enum import IntEnum
from typing import Final, NewType

VmId = NewType("VmId", str)
EndpointId = NewType("EndpointId", str)
DataCentre = NewType("DataCentre", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
PermitId = NewType("PermitId", str)
AskId = NewType("AskId", str)

Seconds = float
Epoch = int
Revision = int

VERSION_SEPARATOR = "@"
NEVER: Final[Seconds] = -1e9


class Priority(IntEnum):
    """The classes of work; a smaller number goes first."""

    INTERACTIVE = 0
    STANDARD = 1
    BATCH = 2


@dataclass(frozen=True, slots=True)
class AdapterVersion:
    """One published version of one adapter; ``SERVICE`` stands for no adapter."""

    adapter: str
    version: int

    def __str__(self) -> str:
        return f"{self.adapter}{VERSION_SEPARATOR}{self.version}"


SERVICE = AdapterVersion(adapter="", version=0)


class MalformedAdapter(ValueError):
    """The text does not name an adapter and, after the mark, a whole version."""


def parse_adapter_version(text: str) -> AdapterVersion:
    """Return the adapter version that ``name@3`` names.

    Raises ``MalformedAdapter`` for anything else.
    """
    name, separator, version = text.rpartition(VERSION_SEPARATOR)
    if not separator or not version.isdecimal():
        raise MalformedAdapter(f"{text!r} is not of the form name@version")
    return AdapterVersion(adapter=name, version=int(version))
