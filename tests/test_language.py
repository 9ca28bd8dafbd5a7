"""The operators' language: valid statements, and positions in error messages."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kestreltally.operators.statements import (
    Alter,
    Condition,
    Create,
    Drain,
    Explain,
    InvalidStatement,
    Pin,
    Publish,
    RollBack,
    SetRule,
    Setting,
    Show,
    ShowTimeline,
    parse_statements,
)

GOOD = {
    "create model base-a": Create("model", "base-a", ()),
    "CREATE endpoint e with kind = engine, url = http://10.0.0.1:80, slots = 4": Create(
        "endpoint",
        "e",
        (
            Setting("kind", "engine"),
            Setting("url", "http://10.0.0.1:80"),
            Setting("slots", 4),
        ),
    ),
    'alter caller till set key_digests = ["a", "b"], requests_per_second = 2.5': Alter(
        "caller",
        "till",
        (Setting("key_digests", ("a", "b")), Setting("requests_per_second", 2.5)),
    ),
    "publish balances version 3": Publish("balances", 3),
    "rollback adapter balances": RollBack("balances"),
    "allow till to use /ledger": SetRule(
        "till", "/ledger", "allow", "allow-till-.ledger"
    ),
    "deny * to use secret as r1": SetRule("*", "secret", "deny", "r1"),
    "show slots where adapter ~ bal and idle_for > 1 order by idle_for desc limit 3": (
        Show(
            "slots",
            (Condition("adapter", "~", "bal"), Condition("idle_for", ">", 1)),
            "idle_for",
            True,
            3,
        )
    ),
    "drain vm evm-1": Drain("vm", "evm-1", True),
    "undrain endpoint e": Drain("endpoint", "e", False),
    "pin balances to e1, e2": Pin("balances", ("e1", "e2")),
    "unpin balances": Pin("balances", ()),
    "explain till:r1": Explain("till:r1"),
    "timeline where request = r1 limit 5": ShowTimeline(
        (Condition("request", "=", "r1"),), 5
    ),
}


@pytest.mark.parametrize("text", GOOD)
def test_statement(text: str) -> None:
    assert parse_statements(text) == (GOOD[text],)


def test_many_statements_and_comments() -> None:
    text = "create model a; -- the base\ncreate model b;\nshow models"
    assert len(parse_statements(text)) == 3


BAD = {
    "shwo slots": ("column 1", "did you mean 'show'?"),
    "show slotz": ("column 6", "did you mean 'slots'?"),
    "create": ("column 7", "a kind"),
    "publish balances": ("column 17", "version"),
    "alter adapter a set model": ("column 26", "="),
    "create model a;\nshow slots were x = 1": ("line 2, column 12", "'where'"),
}


@pytest.mark.parametrize("text", BAD)
def test_error_names_its_position(text: str) -> None:
    with pytest.raises(InvalidStatement) as caught:
        parse_statements(text)
    for part in BAD[text]:
        assert part in str(caught.value)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.text(max_size=60))
def test_any_text_parses_or_raises_invalid_statement(text: str) -> None:
    try:
        parse_statements(text)
    except InvalidStatement as error:
        assert str(error).startswith("line ")
