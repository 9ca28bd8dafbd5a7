"""Which part of its time an engine spends reading prompts: streams slow down by it."""

import math
from dataclasses import dataclass, field
from typing import Final

from kestreltally.fleet.model import EndpointId, Seconds

# What was seen longer ago than this hardly counts: some prompts are read meanwhile, and
# demand moves within a few seconds.
MEMORY: Final[Seconds] = 2.0


@dataclass(slots=True)
class _Share:
    """The part of the time as of ``at``, when the engine read or did not."""

    at: Seconds
    value: float
    reads: bool


@dataclass(slots=True)
class ReadingShares:
    """The part of their time that engines spent reading of late, from 0 to 1."""

    _rows: dict[EndpointId, _Share] = field(default_factory=dict)

    def note(self, endpoint: EndpointId, reads: bool, now: Seconds) -> None:
        """Take in whether an engine reads now."""
        row = self._rows.get(endpoint)
        if row is None:
            self._rows[endpoint] = _Share(now, 0.0, reads)
            return
        kept = math.exp(-max(0.0, now - row.at) / MEMORY)
        row.value = kept * row.value + (1 - kept) * row.reads
        row.at = now
        row.reads = reads

    def find(self, endpoint: EndpointId) -> float:
        """Return the part of an engine."""
        row = self._rows.get(endpoint)
        return row.value if row is not None else 0.0

    def forget(self, endpoint: EndpointId) -> None:
        """Drop an engine that is gone."""
        self._rows.pop(endpoint, None)
