"""Unknown headers and statuses are counted, and logged once for each name."""

from multidict import CIMultiDict

from kestreltally.decisions import COUNTS, Decision
from kestreltally.fleet.unknown_signals import MAX_NAMES, OTHERS, UnknownSignals
from kestreltally.platform.headers import list_unrecognised


def test_an_unknown_server_header_is_listed() -> None:
    headers = CIMultiDict(
        [("Server-Mood", "low"), ("server-leaving", "1"), ("Server", "x"), ("A", "b")]
    )
    assert list_unrecognised(200, headers) == ["server-mood"]


def test_an_unknown_status_is_listed() -> None:
    named = {
        status: list_unrecognised(status, {}) for status in (200, 421, 503, 302, 600)
    }
    assert named == {
        200: [],
        421: [],
        503: [],
        302: ["status 302"],
        600: ["status 600"],
    }


def test_each_name_is_counted_and_logged_once() -> None:
    words = UnknownSignals()
    before = COUNTS[Decision.ENDPOINT_WORD_UNREAD]
    for _ in range(3):
        words.record(["server-mood"])
    assert words.count() == {"server-mood": 3.0}
    assert COUNTS[Decision.ENDPOINT_WORD_UNREAD] == before + 1


def test_the_number_of_names_is_bounded() -> None:
    words = UnknownSignals()
    words.record(f"server-{number}" for number in range(3 * MAX_NAMES))
    assert len(words.count()) == MAX_NAMES + 1
    assert words.count()[OTHERS] == 2 * MAX_NAMES
