"""The software versions at which streams that may still be taken up can have begun."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Final

from kestreltally.fleet.model import Seconds, ServiceName, SoftwareVersion

# No client takes a stream up later than this after it began.
MAX_STREAM_LIFE: Final[Seconds] = 60.0
NEVER: Final[Seconds] = float("-inf")


class VersionHistory:
    """The software versions of each service's endpoints, with when each was last seen.

    A version that has left is remembered as long as its streams may be taken up. All
    versions that have served since ``complete_since`` are known. Others may have served
    before that, for example while this daemon was not running.
    """

    def __init__(self) -> None:
        self._seen_at: dict[ServiceName, dict[SoftwareVersion, Seconds]] = defaultdict(
            dict
        )
        self.complete_since: Seconds = NEVER

    def record_gap(self, until: Seconds) -> None:
        """Record that versions may have served unseen until a time."""
        self.complete_since = max(self.complete_since, until)

    def record_complete(self, since: Seconds) -> None:
        """Record that all versions are known which have served since a time."""
        self.complete_since = min(self.complete_since, since)

    def is_complete(self, now: Seconds) -> bool:
        """Return whether all versions are known at which streams may have begun."""
        return now - self.complete_since >= MAX_STREAM_LIFE

    def observe(
        self, versions: Iterable[tuple[ServiceName, SoftwareVersion]], now: Seconds
    ) -> None:
        """Record the versions of all known endpoints."""
        for service, software in versions:
            self.record(service, software, now)

    def prune(self, now: Seconds) -> None:
        """Forget versions at which no stream can have begun that is taken up now."""
        for service, seen_at in list(self._seen_at.items()):
            recent = {v: at for v, at in seen_at.items() if now - at <= MAX_STREAM_LIFE}
            if recent:
                self._seen_at[service] = recent
            else:
                del self._seen_at[service]

    def record(
        self, service: ServiceName, software: SoftwareVersion, at: Seconds
    ) -> None:
        """Record that an endpoint of a version was known at a time."""
        seen_at = self._seen_at[service]
        seen_at[software] = max(at, seen_at.get(software, at))

    def list_recent(self, service: ServiceName, now: Seconds) -> list[SoftwareVersion]:
        """Return the versions at which streams of a service may have begun."""
        seen_at = self._seen_at.get(service, {})
        return [v for v, at in seen_at.items() if now - at <= MAX_STREAM_LIFE]

    def is_mixed(self, service: ServiceName, now: Seconds) -> bool:
        """Return whether streams of a service may have begun at several versions."""
        if not self.is_complete(now):
            return True
        seen_at = self._seen_at.get(service, {})
        return len(seen_at) > 1 and len(self.list_recent(service, now)) > 1

    def list_mixed(self, now: Seconds) -> frozenset[ServiceName]:
        """Return the services of which several recent versions are known."""
        return frozenset(
            service
            for service, seen_at in self._seen_at.items()
            if len(seen_at) > 1 and len(self.list_recent(service, now)) > 1
        )

    def list_ages(
        self, now: Seconds
    ) -> Iterator[tuple[ServiceName, SoftwareVersion, Seconds]]:
        """Yield the recent versions of all services, and when each was last seen."""
        for service, seen_at in self._seen_at.items():
            for software, at in seen_at.items():
                if now - at <= MAX_STREAM_LIFE:
                    yield service, software, now - at
