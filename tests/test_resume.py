"""An interrupted answer is resumed on another engine, compared with a restart."""

from unittest.mock import patch

import pytest

from kestreltally.requests.relay import Relay
from tests.fleet import Fleet, SentRequest, run_virtual


async def interrupt_answer(stream: bool) -> tuple[Fleet, SentRequest]:
    """Kill the running request in the middle of an answer."""
    fleet = Fleet(unfenced=0)
    await fleet.start()
    await fleet.settle(4.0)
    await warm_up(fleet)
    sent = fleet.send(0, "a0", stream=stream)
    while not any(endpoint.running for endpoint in fleet.endpoints.values()):
        await fleet.settle(0.01)
    await fleet.settle(0.22)
    (busy_endpoint,) = [each for each in fleet.endpoints.values() if each.running]
    busy_endpoint.running[0].killed = True
    await fleet.settle(8.0)
    await fleet.close()
    return fleet, sent


async def warm_up(fleet: Fleet) -> None:
    """Load the adapter on three engines, so that retries wait for no load."""
    for name in ("engine-0", "engine-1", "engine-2"):
        fleet.endpoints[name].loaded.add("a0@1")
    await fleet.settle(1.5)


def serve_interrupted(stream: bool, resume: bool) -> SentRequest:
    if resume:
        fleet, sent = run_virtual(interrupt_answer(stream))
    else:
        with patch.object(Relay, "list_token_ids", lambda self: None):
            fleet, sent = run_virtual(interrupt_answer(stream))
    assert fleet.list_problems() == []
    return sent


@pytest.mark.parametrize("stream", [True, False])
def test_interrupted_answer_resumes_to_the_same_text(stream: bool) -> None:
    assert serve_interrupted(stream, resume=True).done


def test_stream_that_cannot_resume_is_reported_as_cut_off() -> None:
    refusal = serve_interrupted(stream=True, resume=False).refusal
    assert refusal is not None and refusal.reason.value == "answer_cut_off"


def test_resuming_ends_sooner_than_a_restart() -> None:
    resumed, restarted = (
        serve_interrupted(stream=False, resume=each) for each in (True, False)
    )
    assert restarted.done
    took = resumed.ended_at - resumed.at
    assert took < 0.8 * (restarted.ended_at - restarted.at)
