"""Admission: requests that can meet their objective are not refused, lost ones are."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kestreltally.entry.finder import EndpointFinder
from kestreltally.entry.health import HealthTable
from kestreltally.entry.progress import Progress
from kestreltally.entry.request import Refused
from kestreltally.fleet.model import RequestKind
from kestreltally.fleet.tables import Fleet
from kestreltally.platform.documents import decode_configuration
from tests.entryrig import KEY, MODELS, make_request, make_route
from tests.test_knowledge import CONFIGURATION

ARRIVED = 100.0
OBJECTIVE = 0.8
PATIENCE = 3.2
TIMEOUT = 5.0
# Initial estimates of estimates/prefill.py.
BASE, PACE = 0.02, 1 / 40_000


ROUTE = make_route(
    RequestKind.STREAM,
    service=MODELS,
    objective=OBJECTIVE,
    timeout=TIMEOUT,
    silence_limit=PATIENCE,
)


def is_refused(
    prompt_tokens: int, load_wait: float, passed: float, waited: float
) -> bool:
    finder = EndpointFinder("north", Fleet(), HealthTable())
    finder.load_wait = load_wait
    progress = Progress(waited=waited)
    request = make_request(ROUTE, prompt_tokens, ARRIVED)
    try:
        finder._check_wait(request, progress, KEY, ARRIVED + passed)
    except Refused as refused:
        assert refused.status == 503
        assert refused.retry_after is not None and refused.retry_after > 0
        return True
    return False


PROMPTS = st.integers(0, 100_000)
WAITS = st.floats(0.0, 6.0)


@given(PROMPTS, WAITS, WAITS, st.booleans())
def test_request_predicted_within_its_objective_is_never_refused(
    prompt_tokens: int, load_wait: float, passed: float, has_waited: bool
) -> None:
    first = passed + load_wait + BASE + PACE * prompt_tokens
    if first <= OBJECTIVE - 1e-6:
        assert not is_refused(prompt_tokens, load_wait, passed, passed * has_waited)


@given(PROMPTS, WAITS, WAITS, st.booleans())
def test_request_predicted_after_its_client_leaves_is_always_refused(
    prompt_tokens: int, load_wait: float, passed: float, has_waited: bool
) -> None:
    first = passed + load_wait + BASE + PACE * prompt_tokens
    if first > PATIENCE + 1e-6:
        assert is_refused(prompt_tokens, load_wait, passed, passed * has_waited)


@pytest.mark.parametrize(
    ("load_wait", "waited", "refused"),
    [(0.3, 0.0, False), (1.5, 0.0, True), (1.5, 0.2, False), (0.45, 0.0, False)],
)
def test_new_request_is_refused_where_waiting_makes_it_late(
    load_wait: float, waited: float, refused: bool
) -> None:
    assert is_refused(9_000, load_wait, waited, waited) is refused


def test_client_patience_is_decoded_from_the_route() -> None:
    route = decode_configuration(CONFIGURATION).routes[0]
    assert route.silence_limit == pytest.approx(2.4)
    with_pauses = {
        **CONFIGURATION,
        "Routes": [{**CONFIGURATION["Routes"][0], "GapTargetMs": 400}],  # type: ignore[dict-item]
    }
    assert decode_configuration(with_pauses).routes[0].silence_limit == pytest.approx(
        3.2
    )
