"""Types of identifiers and units."""

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
    """Priority classes; a smaller number is served first."""

    INTERACTIVE = 0
    STANDARD = 1
    BATCH = 2


@dataclass(frozen=True, slots=True)
class AdapterVersion:
    """A published version of an adapter; ``SERVICE`` means no adapter."""

    adapter: str
    version: int

    def __str__(self) -> str:
        return f"{self.adapter}{VERSION_SEPARATOR}{self.version}"


SERVICE = AdapterVersion(adapter="", version=0)


class MalformedAdapter(ValueError):
    """The text is not an adapter name, a separator and an integer version."""


def parse_adapter_version(text: str) -> AdapterVersion:
    """Parse an adapter version of the form ``name@3``.

    Raises ``MalformedAdapter`` for anything else.
    """
    name, separator, version = text.rpartition(VERSION_SEPARATOR)
    if not separator or not version.isdecimal():
        raise MalformedAdapter(f"{text!r} is not of the form name@version")
    return AdapterVersion(adapter=name, version=int(version))
