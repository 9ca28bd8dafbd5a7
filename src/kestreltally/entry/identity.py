"""Resolves a client's key to its organisation by the applied configuration.

A key is accepted only while the configuration was confirmed recently enough. It is
refused permanently only if no newer configuration may contain it.
"""

from typing import Final

from kestreltally.entry.progress import UNAVAILABLE
from kestreltally.entry.request import Caller, Refused
from kestreltally.fleet.model import Organisation, Route, Seconds
from kestreltally.fleet.organisations import KeyDigest, digest_key
from kestreltally.fleet.tables import Fleet
from kestreltally.knowledge.authority import Authority

BAD_REQUEST: Final = 400
UNAUTHORISED: Final = 401
# Retry time for an unknown key while a newer configuration may contain it. A daemon
# without a recent confirmation reads the store again within this time.
UNKNOWN_KEY_RETRY_DELAY: Final[Seconds] = 1.0
# Retry time while this daemon has lost the store, but others may still reach it.
OTHER_DAEMON_RETRY_DELAY: Final[Seconds] = 0.1
# Retry time if the leader in contact has lost the store as well: then presumably all
# daemons have. An unreachable store is read again within this time.
STORE_RETRY_DELAY: Final[Seconds] = 1.0


class IdentityCheck:
    """Identifies the organisation of a request, or refuses the request."""

    def __init__(self, fleet: Fleet, authority: Authority) -> None:
        self._fleet = fleet
        self._authority = authority
        # Whether this daemon is in contact with any leader.
        self.has_leader_contact = False

    def identify(self, keys: list[str], route: Route) -> Caller | None:
        """Return the caller, None where no key is needed; raises ``Refused``."""
        if route.public or self._fleet.keys is None:
            return None
        if len(keys) > 1:
            raise Refused(BAD_REQUEST, "more than one key")
        if not keys or not keys[0]:
            raise self._make_refusal("no key")
        digest = digest_key(keys[0])
        return Caller(self._get_organisation(digest), digest)

    def recheck(self, caller: Caller) -> None:
        """Raise ``Refused`` if a key has been revoked, or may have been."""
        if self._fleet.keys is None:
            return
        if caller.digest is not None:
            self._get_organisation(caller.digest)
            return
        self._check_authority()
        if self._authority.is_past(caller.valid_until):
            raise Refused(
                UNAVAILABLE,
                "key not confirmed recently by the daemon that checked it",
                OTHER_DAEMON_RETRY_DELAY,
            )

    def _check_authority(self) -> None:
        if not self._authority.check():
            raise Refused(
                UNAVAILABLE,
                "keys cannot be checked: configuration not confirmed recently",
                self.compute_wait(),
                elsewhere=not self.has_leader_contact,
            )

    def _get_organisation(self, digest: KeyDigest) -> Organisation:
        self._check_authority()
        keys = self._fleet.keys
        organisation = keys.find(digest) if keys is not None else None
        if organisation is None:
            raise self._make_refusal("unknown key")
        return organisation

    def _make_refusal(self, reason: str) -> Refused:
        """Return a permanent refusal, or a temporary one if newer keys may exist."""
        if self._authority.is_fresh:
            return Refused(UNAUTHORISED, reason)
        return Refused(
            UNAVAILABLE,
            f"{reason} in a configuration that may be stale",
            UNKNOWN_KEY_RETRY_DELAY,
        )

    def compute_wait(self) -> Seconds:
        """Return the retry time for a client whose key cannot be checked."""
        return (
            STORE_RETRY_DELAY if self.has_leader_contact else OTHER_DAEMON_RETRY_DELAY
        )

    @property
    def is_isolated(self) -> bool:
        """Return whether this daemon cannot check keys while others may be able to."""
        needed = self._fleet.keys is not None
        return needed and not self._authority.is_valid and not self.has_leader_contact
