"""Entries that are missing in the store, and kept until their endpoints had time to
write them again."""

from dataclasses import dataclass

from kestreltally.fleet.model import EndpointId, Seconds
from kestreltally.knowledge.removal_origins import RemovalOrigin, RemovalSource


@dataclass(frozen=True, slots=True)
class Doubt:
    """An entry that is missing since one time, and kept until another."""

    source: RemovalSource
    since: Seconds
    until: Seconds

    def describe_end(self, now: Seconds) -> RemovalOrigin:
        """Return the origin of the removal that ends this doubt."""
        return RemovalOrigin(
            self.source, doubted_for=round(now - self.since, 3), certain=True
        )


class Doubts:
    """The missing entries that are kept, by endpoint."""

    def __init__(self) -> None:
        self._rows: dict[EndpointId, Doubt] = {}

    def __contains__(self, endpoint: EndpointId) -> bool:
        return endpoint in self._rows

    def add(self, endpoint: EndpointId, doubt: Doubt) -> bool:
        """Keep a missing entry; return whether it was not kept already."""
        return self._rows.setdefault(endpoint, doubt) is doubt

    def discard(self, endpoint: EndpointId) -> None:
        """End a doubt: the entry is listed again, or certainly removed."""
        self._rows.pop(endpoint, None)

    def pop_ended(self, now: Seconds) -> list[tuple[EndpointId, Doubt]]:
        """Return and remove the doubts whose time is over."""
        ended = [(name, each) for name, each in self._rows.items() if now >= each.until]
        for name, _ in ended:
            del self._rows[name]
        return ended
