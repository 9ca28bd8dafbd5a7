"""Requests that were reported as crashing an endpoint, and that it then answers.

Guards against a request that stays suspected of a crash that was none: an endpoint that
is paused for long is silent, its entry lapses, and its running requests are reported.
It then goes on and answers them completely.
"""

import pytest

from kestreltally.poison.crash_detector import MIN_SILENCE
from kestreltally.poison.fingerprints import make_fingerprint
from tests.test_crashes import SECRET, Rig, make_endpoint, make_request

DIGEST = make_fingerprint(make_request(), SECRET).digest


def report_paused(rig: Rig) -> None:
    """Report a paused endpoint as crashed, once its entry has lapsed."""
    rig.clock.now += MIN_SILENCE + 0.1
    rig.watch.record_removed(make_endpoint())


async def test_a_whole_answer_after_a_reported_crash_clears_its_request() -> None:
    rig = Rig()
    attempt = rig.send(make_endpoint())
    report_paused(rig)
    assert rig.register.is_suspect(DIGEST)
    rig.clock.now += 0.5
    attempt.record_answered(rig.clock(), complete=True)
    rig.watch.end(attempt)
    assert not rig.register.is_suspect(DIGEST)


@pytest.mark.parametrize("answered", [False, True])
async def test_an_answer_that_is_not_whole_clears_nothing(answered: bool) -> None:
    rig = Rig()
    attempt = rig.send(make_endpoint())
    report_paused(rig)
    rig.clock.now += 0.5
    if answered:
        attempt.record_answered(rig.clock(), complete=False)
    attempt.broken_off = True
    rig.watch.end(attempt)
    assert rig.register.is_suspect(DIGEST)


async def test_a_request_that_did_not_run_clears_nothing() -> None:
    rig = Rig()
    attempt = rig.send(make_endpoint())
    report_paused(rig)
    attempt.complete = True
    rig.watch.end(attempt)
    assert rig.register.is_suspect(DIGEST)
