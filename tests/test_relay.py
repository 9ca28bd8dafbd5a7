"""The relay passes on complete events of the right adapter, up to the end mark."""

import pytest

from kestreltally.entities.ids import AdapterVersion
from kestreltally.ports import AttemptLost
from kestreltally.requests.relay import AdapterMismatch, Relay

ADAPTER = AdapterVersion(adapter="balances", version=3)


def make_event(text: str, token: int = 1, model: str = "balances@3") -> bytes:
    choice = f'{{"index":0,"token_ids":[{token}],"text":"{text}"}}'
    return f'data: {{"id":"a","model":"{model}","choices":[{choice}]}}\n\n'.encode()


DONE = b"data: [DONE]\n\n"


@pytest.mark.parametrize("size", [1, 2, 7, 50, 1000])
def test_answer_is_complete_for_any_chunk_size(size: int) -> None:
    data = make_event("one", 4) + make_event("two", 5) + DONE
    relay = Relay(ADAPTER)
    chunks = [data[at : at + size] for at in range(0, len(data), size)]
    passed_on = b"".join(relay.feed(chunk) for chunk in chunks)
    assert passed_on == data.removesuffix(DONE)
    assert relay.ended
    assert relay.list_token_ids() == (4, 5)


def test_partial_event_is_not_passed_on() -> None:
    relay = Relay(ADAPTER)
    complete_event = make_event("one")
    assert relay.feed(complete_event + make_event("two")[:-5]) == complete_event
    assert not relay.ended


@pytest.mark.parametrize("model", ["balances@2", "balances@33", "other@3"])
def test_event_of_another_adapter_is_never_passed_on(model: str) -> None:
    relay = Relay(ADAPTER)
    relay.feed(make_event("one"))
    with pytest.raises(AdapterMismatch):
        relay.feed(make_event("two", model=model))


def test_model_field_with_spaces_is_accepted() -> None:
    relay = Relay(ADAPTER)
    event = b'data: {"model": "balances@3", "choices": []}\n\n'
    assert relay.feed(event) == event


def test_bytes_after_the_end_mark_are_an_error() -> None:
    relay = Relay(ADAPTER)
    relay.feed(make_event("one") + DONE)
    with pytest.raises(AttemptLost):
        relay.feed(make_event("two"))


def test_text_without_token_ids_cannot_be_resumed() -> None:
    relay = Relay(ADAPTER)
    relay.feed(b'data: {"model":"balances@3","choices":[{"text":"x"}]}\n\n')
    assert relay.list_token_ids() is None
