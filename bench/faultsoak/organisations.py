"""Organisations of the soak, and their keys as operators change them."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count
from typing import Any, Final

from bench.fleet_demo import BOUNDS

STEADY: Final = "alpha"
# Its key is revoked at random times and replaced by another.
CHANGING: Final = "beta"
# It sends about twice as many requests as its quota allows.
LIMITED: Final = "gamma"

REVOCATION: Final = 4.0
QUOTA_RATE: Final = 4.0
QUOTA_BURST: Final = 4.0
QUOTA_WINDOW: Final = 8.0
QUOTA_OVERAGE: Final = 0.1
QUOTA_SLACK: Final = 8.0
MAX_PER_WINDOW: Final = (QUOTA_RATE * QUOTA_WINDOW + QUOTA_BURST) * (
    1 + QUOTA_OVERAGE
) + QUOTA_SLACK

SOAK_BOUNDS: Final = {
    **BOUNDS,
    "StrictRevocation": True,
    "RevocationMs": REVOCATION * 1000,
    "QuotaWindowS": QUOTA_WINDOW,
    "QuotaOverage": QUOTA_OVERAGE,
    "QuotaSlack": QUOTA_SLACK,
}


@dataclass
class Keys:
    """Keys with their organisations and times of issue and revocation."""

    holders: dict[str, str] = field(default_factory=dict)
    current: dict[str, str] = field(default_factory=dict)
    revoked_at: dict[str, float] = field(default_factory=dict)
    issued_at: dict[str, float] = field(default_factory=dict)
    _numbers: Iterator[int] = field(default_factory=count)

    def __post_init__(self) -> None:
        """Issue the first key of each organisation."""
        for name in (STEADY, CHANGING, LIMITED):
            self.issue(name)

    def issue(self, name: str) -> str:
        """Issue a new key to an organisation; return its former key, empty if none."""
        before = self.current.get(name, "")
        key = f"key-of-{name}-{next(self._numbers)}"
        self.holders[key] = name
        self.current[name] = key
        return before

    def encode(self) -> list[dict[str, Any]]:
        """Return the organisations as operators write them."""
        tenants: list[dict[str, Any]] = [
            {"Name": name, "Keys": [key]} for name, key in self.current.items()
        ]
        for tenant in tenants:
            if tenant["Name"] == LIMITED:
                tenant.update(Unit="requests", RatePerS=QUOTA_RATE, Burst=QUOTA_BURST)
        return tenants
