"""The tokens lately granted to each organisation, over all engines of an issuer.

A grant is forgotten exponentially: an organisation that was idle comes first for about
as long as the others were ahead of it, and what it left unused is not saved up.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from kestreltally.fleet.model import Seconds

# Time constant of the decay. At a full engine an organisation begins a long prompt
# every few seconds, and a fair comparison needs several of them.
USAGE_TIME: Final[Seconds] = 5.0
DEFAULT_WEIGHT: Final = 1.0
# Organisations with less usage than this are removed from the table.
MIN_USAGE: Final = 1.0
# The table is pruned at this size, and again at twice the size that is left.
MIN_PRUNE_SIZE: Final = 64


@dataclass(slots=True)
class _Usage:
    """Decayed tokens as of a time."""

    tokens: float
    updated_at: Seconds

    def compute(self, now: Seconds) -> float:
        age = max(0.0, now - self.updated_at)
        return self.tokens * math.exp(-age / USAGE_TIME)


@dataclass(slots=True)
class FairShares:
    """Usage of organisations; ``weights`` holds those that are not 1."""

    weights: Mapping[str, float] = field(default_factory=dict)
    _rows: dict[str, _Usage] = field(default_factory=dict)
    _prune_size: int = MIN_PRUNE_SIZE

    def record(self, organisation: str, tokens: int, now: Seconds) -> None:
        """Record granted tokens."""
        row = self._rows.get(organisation)
        if row is None:
            self._prune(now)
            self._rows[organisation] = _Usage(tokens, now)
            return
        row.tokens = row.compute(now) + tokens
        row.updated_at = max(now, row.updated_at)

    def get_weight(self, organisation: str) -> float:
        """Return the weight of an organisation's share."""
        return self.weights.get(organisation, DEFAULT_WEIGHT)

    def compute_usage(self, organisation: str, now: Seconds) -> float:
        """Return the tokens lately granted to an organisation, by its weight."""
        row = self._rows.get(organisation)
        if row is None:
            return 0.0
        return row.compute(now) / self.get_weight(organisation)

    def _prune(self, now: Seconds) -> None:
        if len(self._rows) < self._prune_size:
            return
        for name in [n for n, r in self._rows.items() if r.compute(now) < MIN_USAGE]:
            del self._rows[name]
        self._prune_size = max(MIN_PRUNE_SIZE, 2 * len(self._rows))
