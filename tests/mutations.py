"""Mutation tests of the fault matrix: each check must be able to fail.

A mutation disables one mechanism; at least one of its cells must then report a problem.
``python -m tests.mutations`` prints which check caught which mutation.
"""

import logging
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, replace
from typing import Any
from unittest.mock import patch

import click
from result import Ok

from kestreltally.entities.permits import HeldPermit
from kestreltally.requests.attempts import AttemptEnd, AttemptResult
from kestreltally.requests.claims import Claim, Claims, ClaimValue
from kestreltally.requests.flow import RequestServer
from kestreltally.requests.outcomes import Outcome
from kestreltally.requests.relay import Relay
from kestreltally.systems import (
    configuration,
    granting,
    holding,
    leadership,
    loading,
    registry,
)
from tests.fleet import Node
from tests.matrix import Cell, run_cell

Patcher = Callable[[ExitStack], None]


@dataclass(frozen=True)
class Mutation:
    """A disabled mechanism, and the cells and problem that must reveal it."""

    name: str
    promise: str
    expected_problem: str
    apply: Patcher
    cells: tuple[Cell, ...]


MUTATIONS: list[Mutation] = []


def register_mutation(
    name: str, promise: str, expected_problem: str, *cells: Cell
) -> Callable[[Patcher], Patcher]:
    """Register a mutation; ``expected_problem`` must occur in a reported problem."""

    def register(patcher: Patcher) -> Patcher:
        MUTATIONS.append(Mutation(name, promise, expected_problem, patcher, cells))
        return patcher

    return register


def _replace(stack: ExitStack, target: Any, name: str, value: Any) -> None:
    stack.enter_context(patch.object(target, name, value))


@register_mutation(
    "permits ignored when unloading",
    "an adapter in use is never unloaded",
    "unload-only-unused",
    Cell("slot closed", "slow"),
)
def ignore_permits(stack: ExitStack) -> None:
    _replace(stack, loading, "is_in_use", lambda world, led, slot: False)


@register_mutation(
    "permits and the invariant on them ignored",
    "an adapter in use is never unloaded",
    "unloaded in use",
    Cell("slot closed", "slow"),
    Cell("unload ordered", "duplicate and reorder"),
)
def ignore_permits_unseen(stack: ExitStack) -> None:
    ignore_permits(stack)
    _replace(stack, loading, "UNLOAD_ONLY_UNUSED", leadership.PART)
    _replace(
        stack,
        loading,
        "_order_unload",
        _without_invariants(loading._order_unload),
    )


def _without_invariants(work: Callable[..., Any]) -> Callable[..., Any]:
    def run(world: Any, *rest: Any) -> Any:
        with patch.object(world.invariants, "require", lambda *_: True):
            return work(world, *rest)

    return run


@register_mutation(
    "a new leader does not wait for the old one's permits",
    "an adapter in use is never unloaded",
    "unloaded in use",
    Cell("permit granted", "kill leader", token_time=2.0),
    Cell("request sent", "kill leader", token_time=2.0),
    Cell("leadership won", "slow", token_time=1.0),
    Cell("permit granted", "freeze leader", token_time=2.0),
)
def skip_waits(stack: ExitStack) -> None:
    start_leading = leadership._start_leading

    def start_without_waits(
        world: Any, record: Any, claimed_at: float, offer: Any
    ) -> None:
        start_leading(world, record, claimed_at, offer)
        led = world.leaders.led_endpoints[record.endpoint]
        world.update_led_endpoint(led, orders_allowed_at=0.0, unloads_allowed_at=0.0)

    _replace(stack, leadership, "_start_leading", start_without_waits)
    _replace(
        stack,
        loading,
        "can_unload",
        lambda world, led, slot: not any(world.permits_of(led.endpoint, slot.adapter)),
    )


@register_mutation(
    "a held permit never ends at its holder",
    "an adapter in use is never unloaded",
    "unload",
    *(Cell("slot closed", "slow", seed) for seed in range(1, 9)),
)
def keep_permits(stack: ExitStack) -> None:
    def has_free_capacity(self: HeldPermit, now: float) -> bool:
        return self.running < self.count

    _replace(stack, HeldPermit, "has_free_capacity", has_free_capacity)
    _replace(stack, holding, "return_permits", lambda world: None)
    runners = [each for each in registry.RUNNERS if "return_permits" not in each[1]]
    _replace(stack, registry, "RUNNERS", runners)


@register_mutation(
    "end mark ignored",
    "each caller gets the whole of its own answer",
    " got ",
    Cell("first token", "end marks missing"),
)
def ignore_end_mark(stack: ExitStack) -> None:
    ended = property(lambda self: True, lambda self, value: None)
    stack.enter_context(patch.object(Relay, "ended", ended, create=True))
    _replace(
        stack, Relay, "feed", lambda self, data: data.replace(b"data: [DONE]", b"")
    )


@register_mutation(
    "claim skipped",
    "a not-repeatable request runs at most once",
    "ran 2 times",
    Cell("request claims its id", "slow"),
)
def skip_claims(stack: ExitStack) -> None:
    async def claim(self: Claims, caller: str, request: str, claimant: str) -> Any:
        value = ClaimValue(caller, request, claimant, 0.0)
        return Ok(Claim(key="claim/x", value=value, version=0))

    _replace(stack, Claims, "claim", claim)


@register_mutation(
    "a lost answer to a claim treated as its refusal",
    "a not-repeatable request runs at most once",
    "ran 2 times",
    Cell("request claims its id", "answers lost"),
)
def trust_lost_claims(stack: ExitStack) -> None:
    async def resolve(self: Claims, key: str, value: ClaimValue) -> Any:
        await self._objects.delete(key, (await self._objects.read(key)).version)
        return Ok(Claim(key=key, value=value, version=0))

    _replace(stack, Claims, "_resolve_lost_answer", resolve)


@register_mutation(
    "a not-repeatable request retried",
    "a not-repeatable request runs at most once",
    "not-repeatable-sent-once",
    Cell("first token", "streams cut"),
    Cell("request sent", "engines restart"),
)
def retry_all(stack: ExitStack) -> None:
    evaluate = RequestServer._evaluate_failure

    def evaluate_as_repeatable(self: Any, request: Any, *rest: Any) -> Any:
        return evaluate(self, replace(request, repeatable=True), *rest)

    _replace(stack, RequestServer, "_evaluate_failure", evaluate_as_repeatable)


@register_mutation(
    "every refusal reported as not run",
    "not run means not run",
    "not-run-means-not-sent",
    Cell("first token", "streams cut"),
)
def report_not_run(stack: ExitStack) -> None:
    _replace(
        stack, RequestServer, "_get_outcome", lambda self, progress: Outcome.NOT_RUN
    )


@register_mutation(
    "a lost attempt treated as not run",
    "not run means not run",
    "told not_run but ran",
    Cell("first token", "streams cut"),
    Cell("request sent", "engines restart"),
)
def treat_lost_as_not_run(stack: ExitStack) -> None:
    relay = RequestServer._start_and_relay

    async def relay_lost_as_not_run(*rest: Any) -> AttemptResult:
        result = await relay(*rest)
        if result.end is AttemptEnd.LOST:
            return replace(result, end=AttemptEnd.NOT_RUN)
        return result

    _replace(stack, RequestServer, "_start_and_relay", relay_lost_as_not_run)


@register_mutation(
    "names in answers not checked",
    "the right adapter and version",
    " got ",
    Cell("first token", "wrong version"),
)
def ignore_names(stack: ExitStack) -> None:
    _replace(stack, Relay, "_check_adapter", lambda self, whole: None)
    relay = RequestServer._relay

    async def relay_as_named(
        self: Any, request: Any, answer: Any, *rest: Any
    ) -> AttemptResult:
        answer.head = replace(answer.head, adapter=str(request.adapter))
        return await relay(self, request, answer, *rest)

    _replace(stack, RequestServer, "_relay", relay_as_named)


@register_mutation(
    "older revisions accepted",
    "an accepted configuration never reverts",
    "revision-never-reverts",
    *(Cell("change in force first", "duplicate and reorder", seed) for seed in (1, 2)),
    Cell("change in force first", "freeze"),
)
def accept_older(stack: ExitStack) -> None:
    apply = configuration.apply_changes

    def apply_any(world: Any, arrived: Any) -> bool:
        before = world.config.revision
        increased = apply(world, arrived)
        if arrived.revision < before:
            world.config.revision = arrived.revision
            world.invariants.require(
                configuration.REVISION_NEVER_REVERTS, False, "revision reverted"
            )
        return increased

    _replace(stack, configuration, "apply_changes", apply_any)


@register_mutation(
    "changes neither pulled nor watched again",
    "an accepted configuration is in force everywhere",
    "is not at revision",
    Cell("change in force first", "freeze"),
    Cell("change in force first", "drop half"),
    Cell("change in force first", "cut from peers"),
)
def disable_pull(stack: ExitStack) -> None:
    _replace(stack, configuration, "record_peer_revision", lambda *_: None)
    runners = [each for each in registry.RUNNERS if "pull_missing" not in each[1]]
    _replace(stack, registry, "RUNNERS", runners)
    handlers = {**registry.HANDLERS}
    handlers[configuration.ConfigArrived] = [_apply_first]
    _replace(stack, registry, "HANDLERS", handlers)
    message_handlers = {**registry.MESSAGE_HANDLERS}
    message_handlers[configuration.PushChanges] = []
    _replace(stack, registry, "MESSAGE_HANDLERS", message_handlers)


def _apply_first(world: Any, arrived: Any) -> None:
    if world.config.revision == 0:
        configuration.apply_changes(world, arrived)


@register_mutation(
    "leaving endpoints used on",
    "a leaving endpoint gets no new work within seconds",
    "while leaving",
    Cell("endpoint leaves", "slow"),
    Cell("endpoint leaves", "store down"),
)
def ignore_leaving(stack: ExitStack) -> None:
    _replace(stack, granting, "is_endpoint_leaving", lambda world, spec: False)
    _replace(stack, loading, "is_endpoint_leaving", lambda world, spec: False)


@register_mutation(
    "planned stop does not wait",
    "a planned stop cuts nothing off",
    "cut requests off",
    Cell("stop announced", "slow"),
    Cell("stop announced", "store down"),
)
def stop_at_once(stack: ExitStack) -> None:
    async def stop(self: Node, limit: float = 60.0) -> bool:
        self.stopping = True
        clean = not self.server.live
        await self.kill()
        return clean

    _replace(stack, Node, "stop_planned", stop)


def run_mutation(mutation: Mutation) -> tuple[str, str]:
    """Return the cell that caught a mutation and the problem, or empty strings."""
    logging.disable(logging.CRITICAL)
    try:
        for cell in mutation.cells:
            with ExitStack() as stack:
                mutation.apply(stack)
                result = run_cell(cell)
            for problem in result.problems:
                if mutation.expected_problem in problem:
                    return f"{cell.step} / {cell.fault}", problem
        return "", ""
    finally:
        logging.disable(logging.NOTSET)


@click.command()
def main() -> None:
    """Print which check caught which mutation."""
    survivors = 0
    for mutation in MUTATIONS:
        cell, problem = run_mutation(mutation)
        survivors += not problem
        caught = f"{cell}: {problem[:90]}" if problem else "SURVIVED"
        click.echo(f"| {mutation.name} | {mutation.promise} | {caught} |")
    click.echo(f"mutations: {len(MUTATIONS)}, survivors {survivors}")


if __name__ == "__main__":
    main()
