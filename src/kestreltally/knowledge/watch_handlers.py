"""Handlers of the store's objects: configuration, endpoints and versions."""

import json
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.fleet.model import (
    Configuration,
    Endpoint,
    EndpointId,
    Seconds,
    WeightsKey,
)
from kestreltally.knowledge.doubts import Doubt, Doubts
from kestreltally.knowledge.removal_origins import (
    SEEN_SOURCES,
    RemovalOrigin,
    RemovalSource,
)
from kestreltally.platform.documents import (
    CONFIGURATION_NAME,
    MalformedDocument,
    decode_configuration,
    decode_endpoint,
    decode_version,
)
from kestreltally.platform.store import (
    NO_REVISION,
    REWRITE_WINDOW,
    Changes,
    Listing,
    Revision,
    StoredObject,
)

LOG = logging.getLogger("kestreltally.knowledge")

# Entries that expired while the store was unavailable, or that its backup lacks, are
# written again soon if their endpoint is alive. One that is still missing after this
# period is treated as removed.
EXPIRY_GRACE_PERIOD: Final[Seconds] = REWRITE_WINDOW


def _apply_alone(apply: Callable[[StoredObject], None], stored: StoredObject) -> None:
    """Apply one object; an error that nobody expected stops no other object."""
    try:
        apply(stored)
    except Exception:
        log_decision(LOG, Decision.OBJECT_FAILED, object=stored.name, trace=True)


class ConfigurationSource(Enum):
    """Through what a configuration reached this daemon."""

    LIST = "list"
    WATCH = "watch"
    READ = "read"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class ConfigurationOrigin:
    """Where a configuration came from; ``leader`` is the daemon that sent it."""

    source: ConfigurationSource
    leader: str | None = None


class ConfigurationHandler:
    """Puts each newer configuration in force, and keeps it for peers.

    ``lacks_writes`` returns whether the store may have been restored from a backup
    without later writes. A daemon without a configuration then waits for one from a
    leader, or until the operators have written it again or had the time to do so.
    ``describe_knowledge`` returns fields for the log line of a new configuration: how
    old this daemon's knowledge of the store was.
    """

    def __init__(
        self,
        apply: Callable[[Configuration], bool],
        lacks_writes: Callable[[], bool],
        describe_knowledge: Callable[[], Mapping[str, Any]] = dict,
    ) -> None:
        self._apply = apply
        self._describe_knowledge = describe_knowledge
        self._lacks_writes = lacks_writes
        self._pending: StoredObject | None = None
        self._read_revision: Revision | None = None
        self._version = 0
        self.encoded = b""
        # Whether the newest configuration that the store has told of is in force.
        self.is_current = False

    def apply_listing(self, listing: Listing) -> None:
        """Apply the configuration in a list."""
        self.is_current = False
        for stored in listing.objects:
            if stored.name == CONFIGURATION_NAME:
                self._pending = stored
        self.apply_pending()

    def _may_be_outdated(self) -> bool:
        """Return whether the store's configuration may be older than that of others."""
        return not self._version and self._lacks_writes()

    def apply_pending(self) -> None:
        """Apply the listed configuration once no newer one is expected."""
        if self._pending is not None and not self._may_be_outdated():
            pending, self._pending = self._pending, None
            self.is_current = self.apply_document(
                pending.content, ConfigurationOrigin(ConfigurationSource.LIST)
            )

    def apply_changes(self, changes: Changes) -> None:
        """Apply a changed configuration; a deletion is ignored."""
        for change in changes.changes:
            if not change.deleted and change.object.name == CONFIGURATION_NAME:
                self.is_current = self.apply_document(
                    change.object.content,
                    ConfigurationOrigin(ConfigurationSource.WATCH),
                )

    def apply_read(self, stored: StoredObject) -> bool:
        """Apply a configuration that was read; return whether it is in force."""
        if self._may_be_outdated():
            return False
        if stored.revision != self._read_revision:
            origin = ConfigurationOrigin(ConfigurationSource.READ)
            if not self.apply_document(stored.content, origin):
                return False
            self._read_revision = stored.revision
        return True

    def apply_encoded(self, encoded: bytes, origin: ConfigurationOrigin) -> bool:
        """Apply a configuration that a leader sent, as ``apply_document`` does."""
        try:
            document = json.loads(encoded)
        except (RecursionError, ValueError) as error:
            log_decision(LOG, Decision.CONFIGURATION_REJECTED, reason=str(error))
            return False
        return self.apply_document(document, origin)

    def apply_document(self, document: Any, origin: ConfigurationOrigin) -> bool:
        """Apply a configuration, and return whether it is in force.

        An older configuration is not put in force. It shows that the store was restored
        from a backup, and that newer ones have not been written again yet.
        """
        try:
            configuration = decode_configuration(document)
            encoded = json.dumps(document).encode()
        except (MalformedDocument, RecursionError) as error:
            log_decision(LOG, Decision.CONFIGURATION_REJECTED, reason=str(error))
            return False
        if self._apply(configuration):
            self._version = configuration.version
            self.encoded = encoded
            log_decision(
                LOG,
                Decision.CONFIGURATION_IN_FORCE,
                version=configuration.version,
                source=origin.source.value,
                leader=origin.leader,
                **self._describe_knowledge(),
            )
        return configuration.version >= self._version


class EndpointsHandler:
    """Keeps the list of endpoints, with a grace period for expired entries.

    ``known`` are the endpoints known to this daemon, whatever their source. ``put`` and
    ``drop`` are called with the revision as of which an entry is listed or missing, and
    ``record_complete`` with the one up to which all changes have been applied.
    ``doubts`` are the missing entries that are kept.
    ``recovered_at`` returns when the store last recovered, if entries that are missing
    in the answer being applied may have expired before that.
    """

    def __init__(
        self,
        known: Mapping[EndpointId, Endpoint],
        put: Callable[[Endpoint, Revision], None],
        drop: Callable[[EndpointId, Revision, RemovalOrigin], None],
        record_complete: Callable[[Revision], None],
        doubts: Doubts,
        clock: Callable[[], Seconds],
        recovered_at: Callable[[], Seconds],
    ) -> None:
        self._known = known
        self._put = put
        self._drop = drop
        self._record_complete = record_complete
        self._clock = clock
        self._recovered_at = recovered_at
        self._revision = NO_REVISION
        self.doubts = doubts

    def apply_listing(self, listing: Listing) -> None:
        """Apply a list of all entries; those missing were removed or have expired."""
        is_first = self._revision == NO_REVISION
        source = RemovalSource.FIRST_LIST if is_first else RemovalSource.LIST
        self._revision = listing.revision
        present = {EndpointId(stored.name) for stored in listing.objects}
        for stored in listing.objects:
            _apply_alone(self._apply_entry, stored)
        for endpoint in [each for each in self._known if each not in present]:
            self._record_missing(endpoint, source)
        self._record_complete(listing.revision)

    def apply_changes(self, changes: Changes) -> None:
        """Apply changes of some entries."""
        self._revision = changes.revision
        for change in changes.changes:
            if change.deleted:
                name = EndpointId(change.object.name)
                self._record_missing(name, RemovalSource.WATCH)
            else:
                _apply_alone(self._apply_entry, change.object)
        self._record_complete(changes.revision)

    def _apply_entry(self, stored: StoredObject) -> None:
        try:
            endpoint = decode_endpoint(stored.name, stored.content)
        except MalformedDocument as error:
            log_decision(LOG, Decision.ENTRY_REJECTED, reason=str(error))
            return
        self.doubts.discard(endpoint.id)
        self._put(endpoint, self._revision)

    def _record_missing(self, endpoint: EndpointId, source: RemovalSource) -> None:
        now = self._clock()
        known = self._known.get(endpoint)
        if known is None:
            return
        trusted_from = self._recovered_at() + EXPIRY_GRACE_PERIOD
        if not known.leaving and now < trusted_from:
            if self.doubts.add(endpoint, Doubt(source, now, trusted_from)):
                self._log_doubted(endpoint, source, now)
            return
        is_seen = source in SEEN_SOURCES
        self._remove(endpoint, RemovalOrigin(source, certain=is_seen))

    def _log_doubted(
        self, endpoint: EndpointId, source: RemovalSource, now: Seconds
    ) -> None:
        log_decision(
            LOG,
            Decision.ENDPOINT_DOUBTED,
            endpoint=endpoint,
            source=source.value,
            since_recovery=round(now - self._recovered_at(), 3),
        )

    def _remove(self, endpoint: EndpointId, origin: RemovalOrigin) -> None:
        self.doubts.discard(endpoint)
        self._drop(endpoint, self._revision, origin)

    def drop_expired(self) -> None:
        """Remove entries that were not written again within the grace period."""
        now = self._clock()
        for endpoint, doubt in self.doubts.pop_ended(now):
            self._remove(endpoint, doubt.describe_end(now))


class VersionsHandler:
    """Keeps the newest version of each model and adapter."""

    def __init__(self, apply: Callable[[WeightsKey, int], None]) -> None:
        self._apply = apply

    def apply_listing(self, listing: Listing) -> None:
        """Apply a list of all versions."""
        for stored in listing.objects:
            _apply_alone(self._apply_object, stored)

    def apply_changes(self, changes: Changes) -> None:
        """Apply changes of some versions; deletions are ignored."""
        for change in changes.changes:
            if not change.deleted:
                _apply_alone(self._apply_object, change.object)

    def _apply_object(self, stored: StoredObject) -> None:
        try:
            key, number = decode_version(stored.content)
        except MalformedDocument as error:
            log_decision(LOG, Decision.VERSION_REJECTED, reason=str(error))
            return
        self._apply(key, number)
