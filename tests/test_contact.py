"""Whom the soak excuses for a late request to an endpoint that has left."""

import pytest

from bench.faultsoak.contact import CONTACT_TIME, ContactRecord, Scope, Trouble

LEFT_AT = 100.0
AT = 106.0
DAEMON = Scope(vms=frozenset({"vm-1"}))
OTHER = Scope(vms=frozenset({"vm-2"}))
STORE = Scope(store=True)
ENDPOINT = Scope(endpoint="e1")
OTHER_ENDPOINT = Scope(endpoint="e2")


@pytest.mark.parametrize(
    ("scope", "began", "ended", "in_touch"),
    [
        (DAEMON, AT - 2.0, AT - 1.0, False),
        (DAEMON, AT - 9.0, AT - CONTACT_TIME - 0.1, True),
        (DAEMON, AT - 9.0, float("inf"), False),
        (OTHER, AT - 2.0, AT - 1.0, True),
        (STORE, LEFT_AT - 2.0, LEFT_AT - 1.0, False),
        (STORE, LEFT_AT - 9.0, LEFT_AT - CONTACT_TIME - 0.1, True),
        (STORE, AT - 1.0, AT, False),
        (ENDPOINT, AT - 1.0, AT, False),
        (OTHER_ENDPOINT, AT - 1.0, AT, True),
        (Scope(), AT - 1.0, AT, True),
    ],
)
def test_only_a_daemons_own_or_the_stores_trouble_excuses_it(
    scope: Scope, began: float, ended: float, in_touch: bool
) -> None:
    contact = ContactRecord([Trouble(scope, began, ended)])
    assert contact.is_in_touch("vm-1", "e1", LEFT_AT, AT) is in_touch


def test_endpoint_that_a_backup_lists_again_is_excused() -> None:
    contact = ContactRecord(restored_at=[LEFT_AT + 1.0])
    assert not contact.is_in_touch("vm-1", "e1", LEFT_AT, AT)
    assert contact.is_in_touch("vm-1", "e1", LEFT_AT + 2.0, AT)
