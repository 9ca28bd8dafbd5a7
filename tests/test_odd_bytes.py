"""Decoders of bytes that others write report odd ones as malformed.

Guards against deep nesting and long numbers that end a duty by another error.
"""

from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from kestreltally.callers.parsing import parse_completion
from kestreltally.endpoints.engines import REPORT_ERRORS, parse_refusal, parse_report
from kestreltally.forwarding.headers import decode_context
from kestreltally.platform.settings import InvalidDeployment, load_deployment
from kestreltally.ports import AttemptLost
from kestreltally.requests.relay import parse_events
from kestreltally.timeline.loglines import read_lines
from tests.oddbytes import ODD_VALUES
from tests.test_callers import CALLER, make_world

pytestmark = pytest.mark.parametrize("odd", ODD_VALUES.values(), ids=ODD_VALUES)


def test_body_of_a_caller(odd: bytes) -> None:
    body = b'{"model":"a","prompt":"x","unread":%s}' % odd
    result: Any = parse_completion(make_world(), CALLER, "/v1/completions", {}, body, 0)
    assert result.is_ok() or result.is_err()


def test_report_and_refusal_of_an_engine(odd: bytes) -> None:
    with suppress(*REPORT_ERRORS):
        parse_report(b'{"instance":"e","unread":%s}' % odd, "e", 0.0)
    assert parse_refusal(b'{"reason":"full","unread":%s}' % odd)


def test_event_of_an_answer(odd: bytes) -> None:
    with suppress(AttemptLost):
        parse_events(b'data: {"unread":%s}\n\n' % odd)


def test_header_of_a_request_that_was_passed_on(odd: bytes) -> None:
    with pytest.raises(ValueError):
        decode_context({"X-Kestreltally-Context": odd.decode("latin-1")})


def test_settings_file(odd: bytes, tmp_path: Path) -> None:
    path = tmp_path / "local.json"
    path.write_bytes(b'{"unread":%s}' % odd)
    with pytest.raises(InvalidDeployment):
        load_deployment(path)


def test_line_of_a_log(odd: bytes, tmp_path: Path) -> None:
    path = tmp_path / "log"
    good = b'{"at":1.0,"vm":"v","event":"daemon: started"}\n'
    path.write_bytes(b'{"at":1.0,"vm":"v","event":"x","y":%s}\n%s' % (odd, good))
    with path.open(encoding="utf-8", errors="replace") as file:
        assert read_lines([file])[-1].event == "daemon: started"
