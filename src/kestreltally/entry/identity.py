"""Who asks: the organisation of a client's key, by the configuration in force.

A key is believed only while this daemon's word on the configuration is young enough,
and refused for good only where no newer configuration may hold it.
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
# When a key is not known and a newer configuration may hold it: a daemon without word
# asks the store again within this time.
UNKNOWN_KEY_RETRY_DELAY: Final[Seconds] = 1.0
# Other daemons may still be in touch where this one is cut off from the store.
OTHER_DAEMON_RETRY_DELAY: Final[Seconds] = 0.1
# Where the leader that is heard is cut off as well, so are all daemons as far as is
# known: a store that was away is asked again within this time.
STORE_RETRY_DELAY: Final[Seconds] = 1.0


class IdentityCheck:
    """Tells whose a request is, or why it cannot be told."""

    def __init__(self, fleet: Fleet, authority: Authority) -> None:
        self._fleet = fleet
        self._authority = authority
        # Tells whether any leader is heard.
        self.has_leader_contact = False

    def identify(self, keys: list[str], route: Route) -> Caller | None:
        """Return who asks, none where nobody need tell; raises ``Refused``."""
        if route.public or self._fleet.keys is None:
            return None
        if len(keys) > 1:
            raise Refused(BAD_REQUEST, "more than one key")
        if not keys or not keys[0]:
            raise self._make_refusal("no key")
        digest = digest_key(keys[0])
        return Caller(self._get_organisation(digest), digest)

    def recheck(self, caller: Caller) -> None:
        """Raise ``Refused`` when a key has been taken away, or may have been."""
        if self._fleet.keys is not None:
            self._get_organisation(caller.digest)

    def _get_organisation(self, digest: KeyDigest) -> Organisation:
        if not self._authority.check():
            raise Refused(UNAVAILABLE, "keys cannot be checked", self.compute_wait())
        keys = self._fleet.keys
        organisation = keys.find(digest) if keys is not None else None
        if organisation is None:
            raise self._make_refusal("unknown key")
        return organisation

    def _make_refusal(self, reason: str) -> Refused:
        """Return a refusal for good, or until newer knowledge has come."""
        if self._authority.is_fresh:
            return Refused(UNAUTHORISED, reason)
        return Refused(
            UNAVAILABLE, f"{reason}, as far as is known here", UNKNOWN_KEY_RETRY_DELAY
        )

    def compute_wait(self) -> Seconds:
        """Return when a client whose key cannot be checked here is to come back."""
        return (
            STORE_RETRY_DELAY if self.has_leader_contact else OTHER_DAEMON_RETRY_DELAY
        )

    @property
    def is_isolated(self) -> bool:
        """Tell whether keys cannot be checked here while others may do so."""
        needed = self._fleet.keys is not None
        return needed and not self._authority.is_valid and not self.has_leader_contact
