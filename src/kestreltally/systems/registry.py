"""The systems: what handles a happening, what runs each tick, in which order."""

import logging
from collections.abc import Callable
from typing import Any, Final, TypeVar

from kestreltally.entities.ids import Seconds, VmId
from kestreltally.orders import MessageArrived, OutsideEvent
from kestreltally.world import World

LOG = logging.getLogger("kestreltally.peers")

Handler = Callable[[World, Any], None]
MessageHandler = Callable[[World, VmId, Any], None]
Runner = Callable[[World], None]
R = TypeVar("R", bound=Runner)
H = TypeVar("H", bound=Callable[..., None])

HANDLERS: Final[dict[type[Any], list[Handler]]] = {}
MESSAGE_HANDLERS: Final[dict[type[Any], list[MessageHandler]]] = {}
PAUSE_HANDLERS: Final[list[Callable[[World, Seconds], None]]] = []
RUNNERS: Final[list[tuple[int, str, Runner]]] = []
WAKE_RUNNERS: Final[list[tuple[int, str, Runner]]] = []


def handles_event(event_type: type[Any]) -> Callable[[H], H]:
    """Register a function for one type of happening."""

    def register(handler: H) -> H:
        HANDLERS.setdefault(event_type, []).append(handler)
        return handler

    return register


def handles_message(message_type: type[Any]) -> Callable[[H], H]:
    """Register a function for one type of peer message."""

    def register(handler: H) -> H:
        MESSAGE_HANDLERS.setdefault(message_type, []).append(handler)
        return handler

    return register


def handles_pause(handler: H) -> H:
    """Register a function that is called when the daemon was paused too long."""
    PAUSE_HANDLERS.append(handler)
    return handler


def runs_each_tick(order: int, *, on_wake: bool = False) -> Callable[[R], R]:
    """Register a function to run each tick; smaller numbers run first.

    What runs ``on_wake`` too must cost no more for more daemons or adapters, for
    an arriving message wakes it some hundred times a second.
    """

    def register(runner: R) -> R:
        entry = (order, f"{runner.__module__}.{runner.__name__}", runner)
        for runners in (RUNNERS, WAKE_RUNNERS) if on_wake else (RUNNERS,):
            runners.append(entry)
            runners.sort(key=lambda each: each[:2])
        return runner

    return register


def _handle_message(world: World, arrived: MessageArrived) -> None:
    """Hand a message on; one with values out of their range is left out."""
    for handler in MESSAGE_HANDLERS.get(type(arrived.message), ()):
        try:
            handler(world, arrived.sender, arrived.message)
        except ValueError as error:
            LOG.warning("peers: a message of %s left out: %s", arrived.sender, error)


def _handle_event(world: World, event: OutsideEvent) -> None:
    if isinstance(event, MessageArrived):
        _handle_message(world, event)
        return
    for handler in HANDLERS.get(type(event), ()):
        handler(world, event)


def _drain_inbox(world: World) -> None:
    while world.inbox:
        _handle_event(world, world.inbox.popleft())


def run_step(world: World, now: Seconds, woken: bool = False) -> None:
    """Run one tick: notice a pause, take the inbox in, run the systems.

    Between two ticks a step that is only ``woken`` by an arrival runs the few
    systems that serve requests. A system may leave messages to the daemon itself,
    so the inbox is drained after each.
    """
    paused_for = now - world.last_step
    world.now = now
    world.last_step = now
    if paused_for > world.settings.timing.pause_limit:
        for pause_handler in PAUSE_HANDLERS:
            pause_handler(world, paused_for)
    _drain_inbox(world)
    for _, _, runner in WAKE_RUNNERS if woken else RUNNERS:
        runner(world)
        if world.inbox:
            _drain_inbox(world)
