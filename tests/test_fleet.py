"""A fleet without faults, under virtual time."""

from tests.fleet import Fleet, run_virtual


async def serve_many() -> Fleet:
    fleet = Fleet()
    await fleet.start()
    await fleet.settle(3.0)
    for number in range(40):
        fleet.send(number % 4, f"a{number % 6}")
        await fleet.settle(0.05)
    fleet.send(0, "ledger", repeatable=False, service=True)
    await fleet.settle(15.0)
    await fleet.close()
    return fleet


def test_all_requests_are_answered_when_nothing_fails() -> None:
    fleet = run_virtual(serve_many())
    assert fleet.list_problems() == []
    assert [sent for sent in fleet.sent if not sent.done] == []


def test_the_same_seed_gives_the_same_run() -> None:
    first, second = (run_virtual(serve_many()) for _ in range(2))
    assert [s.ended_at for s in first.sent] == [s.ended_at for s in second.sent]
