"""Keeps the configuration of a daemon young enough for the bound of its deployment.

A configuration has to be in force on all daemons within a bound from its write. Leaders
learn of it by a watch, followers by the feed. What each is proven to know ages from the
last answer on (see ``Authority``). A daemon whose proof is too old reads the store.
"""

from collections.abc import Callable
from typing import Final

from kestreltally.fleet.model import Seconds
from kestreltally.knowledge.authority import READ_INTERVAL, Authority
from kestreltally.knowledge.updates import AGE_UNKNOWN
from kestreltally.knowledge.watch_handlers import ConfigurationHandler
from kestreltally.platform.store import Store, lacks_writes

# The wait of the configuration's watch and the margin of its answer, as fractions of
# the bound. A leader detects a silent connection after both and the pause between two
# calls: at 2 s, 0.6 s remain for reading the configuration again and for the feed.
WAIT_FRACTION: Final = 0.4
MARGIN_FRACTION: Final = 0.25
# A daemon reads the configuration itself once its proof is older than this fraction of
# the bound. Proofs by the watch are at most its wait and 0.1 s old, and 0.4 s more at
# followers.
MAX_PROOF_AGE_FRACTION: Final = 0.9
# The interval of regular reads is at most this fraction of the bound.
READ_INTERVAL_FRACTION: Final = 0.5


class ConfigurationAge:
    """Records proofs by the watch, and decides when a daemon has to read.

    ``checks_keys`` returns whether requests need a key. ``proven_from`` is the time
    after which a daemon that has just started must have a proof.
    """

    def __init__(
        self,
        bound: Seconds,
        authority: Authority,
        handler: ConfigurationHandler,
        store: Store,
        checks_keys: Callable[[], bool],
        proven_from: Seconds,
        clock: Callable[[], Seconds],
    ) -> None:
        self._bound = bound
        self._authority = authority
        self._handler = handler
        self._store = store
        self._checks_keys = checks_keys
        self._proven_from = proven_from
        self._clock = clock

    @property
    def read_interval(self) -> Seconds:
        """Return the time between two reads of a daemon that has to read."""
        return min(READ_INTERVAL, READ_INTERVAL_FRACTION * self._bound)

    def record_watched(self, as_of: Seconds) -> None:
        """Record that all configurations up to a time are known by the watch.

        Where keys can be revoked, only reads prove anything: a store that is about to
        forget its history may answer a watch without the latest changes.
        """
        if self._checks_keys() or not self._handler.is_current:
            return
        if not lacks_writes(self._store.restored_at, as_of):
            self._authority.record(as_of)

    def is_read_needed(self, *, leads: bool, store_is_away: bool) -> bool:
        """Return whether this daemon must read the configuration now.

        Leaders read regularly where keys can be revoked. Otherwise this is rare: the
        watch of this daemon or of its leader confirms it. A daemon that does not lead
        leaves a store alone that is away.
        """
        if leads and self._checks_keys():
            return True
        if store_is_away and not leads:
            return False
        waited = self._clock() - self._proven_from
        age = min(self._authority.compute_age(), waited)
        return age > MAX_PROOF_AGE_FRACTION * self._bound

    def describe(self) -> dict[str, float]:
        """Return how old the configuration may be, and the era of the store."""
        age = min(self._authority.compute_age(), AGE_UNKNOWN)
        return {"proof_age": round(age, 3), "era": self._store.era}
