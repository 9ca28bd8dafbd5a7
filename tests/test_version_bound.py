"""The time for which an older version of an adapter may be used, by its parts."""

from kestreltally.fleet.versions import OLD_VERSION_GRACE
from kestreltally.fleet_daemon import VERSIONS_GAP, VERSIONS_WAIT
from kestreltally.platform.store import WATCH_MARGIN
from tests.entryrig import BOUNDS


def test_version_is_not_used_past_its_bound_if_its_watch_falls_silent() -> None:
    # The watch waits, is given up, asks again; then the older version has its grace.
    noticed = VERSIONS_GAP + VERSIONS_WAIT + WATCH_MARGIN
    assert noticed + OLD_VERSION_GRACE < BOUNDS.version
