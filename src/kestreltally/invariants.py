"""Invariants, checked while the program runs.

Each invariant is registered with a name, the requirement that it enforces and the
module that owns it; docs/PROMISES.md maps them. In production a violation is counted
and logged; in tests it raises.
"""

import logging
from collections import Counter
from dataclasses import dataclass, field
from typing import Final

LOG = logging.getLogger("kestreltally.invariants")


@dataclass(frozen=True)
class Invariant:
    """A condition that must hold in every run."""

    name: str
    promise: str
    owner: str


REGISTRY: Final[dict[str, Invariant]] = {}


def declare_invariant(name: str, *, promise: str, owner: str) -> str:
    """Register an invariant and return its name."""
    if name in REGISTRY:
        raise ValueError(f"invariant {name} is declared twice")
    REGISTRY[name] = Invariant(name=name, promise=promise, owner=owner)
    return name


class InvariantViolated(AssertionError):
    """An invariant was violated."""


@dataclass
class Invariants:
    """The invariant checks of one daemon, with a count of violations."""

    raises: bool
    violations: Counter[str] = field(default_factory=Counter)
    first_details: dict[str, str] = field(default_factory=dict)

    def require(self, name: str, holds: bool, detail: str) -> bool:
        """Check one invariant; return whether it held.

        Raises ``InvariantViolated`` on a violation if the settings request it.
        """
        if holds:
            return True
        known = REGISTRY[name]
        self.violations[name] += 1
        self.first_details.setdefault(name, detail)
        LOG.error("invariant: %s is broken (%s): %s", name, known.promise, detail)
        if self.raises:
            raise InvariantViolated(f"{name}: {detail}")
        return False
