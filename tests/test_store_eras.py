"""Tests that the store's client binds revisions to the era of their response."""

from typing import Any

import pytest
from aiohttp import web

from kestreltally.deployment import SocketAddress
from kestreltally.platform.store import (
    UNKNOWN_ERA,
    Conflict,
    Revision,
    StaleEra,
    Store,
    StoreError,
    open_store_session,
    read_era,
)
from standins.platform_store import PlatformStore, make_store_app
from tests.ports import reserve_port


@pytest.mark.parametrize(
    ("headers", "era"),
    [
        ({"Store-Era": "3"}, 3),
        ({"Store-Era": "0"}, 0),
        ({}, None),
        ({"Store-Era": ""}, None),
        ({"Store-Era": "-1"}, None),
        ({"Store-Era": "two"}, None),
        ({"Store-Era": "²"}, None),
    ],
)
def test_era_of_response_is_parsed(headers: dict[str, str], era: Any) -> None:
    assert read_era(headers) == era


class StoreRig:
    """A stand-in for the store, and its client."""

    async def __aenter__(self) -> "StoreRig":
        self.server = PlatformStore({})
        port = reserve_port()
        self._runner = web.AppRunner(make_store_app(self.server), access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", port).start()
        self._session = open_store_session()
        self.client = Store(self._session, SocketAddress("127.0.0.1", port))
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._session.close()
        await self._runner.cleanup()


async def test_condition_of_older_era_is_not_sent() -> None:
    async with StoreRig() as rig:
        mine = await rig.client.create("k", "n", {"by": "me"})
        backup = rig.server.make_snapshot()
        await rig.server.restore(backup)
        assert await rig.client.read("k", "n")
        assert rig.client.restored_at > 0
        calls = rig.client.calls
        with pytest.raises(StaleEra):
            await rig.client.replace("k", "n", mine.revision, {})
        with pytest.raises(StaleEra):
            await rig.client.watch("k", mine.revision, 0.1)
        assert rig.client.calls == calls


async def test_write_over_another_object_is_rejected() -> None:
    async with StoreRig() as rig:
        await rig.client.create("k", "other", {})
        backup = rig.server.make_snapshot()
        mine = await rig.client.create("k", "n", {"by": "me"})
        # The revision is assigned again, to another writer's object of the same name.
        await rig.server.restore(backup)
        await rig.server.put("k", "n", {"by": "another"})
        with pytest.raises(StaleEra):
            await rig.client.replace("k", "n", mine.revision, {"by": "me"})


async def test_conflict_reports_revision_of_new_era() -> None:
    async with StoreRig() as rig:
        backup = rig.server.make_snapshot()
        mine = await rig.client.create("k", "n", {"by": "me"})
        await rig.server.restore(backup)
        for number in range(3):
            await rig.server.put("k", "n", {"by": number})
        with pytest.raises(Conflict) as caught:
            await rig.client.replace("k", "n", mine.revision, {})
        assert caught.value.current is not None
        assert caught.value.current.revision.era == mine.revision.era + 1


async def test_first_restore_is_detected() -> None:
    # Eras start with 0, which is a valid era.
    async with StoreRig() as rig:
        await rig.client.list_objects("k")
        assert rig.client.era == 0
        assert rig.client.restored_at == float("-inf")
        await rig.server.restore(rig.server.make_snapshot())
        await rig.client.list_objects("k")
        assert rig.client.era == 1
        assert rig.client.restored_at > 0


async def test_late_response_of_older_era_is_rejected() -> None:
    async with StoreRig() as rig:
        await rig.client.list_objects("k")
        rig.server.era += 1
        await rig.client.list_objects("k")
        rig.server.era -= 1
        with pytest.raises(StoreError):
            await rig.client.list_objects("k")


async def test_store_without_eras_is_never_restored() -> None:
    async with StoreRig() as rig:
        rig.server.era = -1
        written = await rig.client.create("k", "n", {})
        assert written.revision.era == UNKNOWN_ERA
        assert await rig.client.replace("k", "n", written.revision, {"a": 1})
        changes = await rig.client.watch("k", Revision(UNKNOWN_ERA, 0), 0.1)
        assert len(changes.changes) == 2
        assert rig.client.restored_at == float("-inf")


async def test_restore_before_the_first_answer_is_of_unknown_age() -> None:
    async with StoreRig() as rig:
        await rig.server.restore(rig.server.make_snapshot())
        await rig.client.list_objects("k")
        assert rig.client.restored_at > 0
        assert rig.client.era_changed_at == float("-inf")
        await rig.server.restore(rig.server.make_snapshot())
        await rig.client.list_objects("k")
        assert rig.client.era_changed_at == rig.client.restored_at
