"""Registry of systems: event and message handlers, and the functions of each tick."""

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
    """Register a function for one type of outside event."""

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
    """Register a function to call after the daemon was paused for too long."""
    PAUSE_HANDLERS.append(handler)
    return handler


def runs_each_tick(order: int, *, on_wake: bool = False) -> Callable[[R], R]:
    """Register a function to run on each tick; smaller numbers run first.

    The cost of an ``on_wake`` function must not grow with the number of daemons or
    adapters: arriving messages trigger it some hundred times a second.
    """

    def register(runner: R) -> R:
        entry = (order, f"{runner.__module__}.{runner.__name__}", runner)
        for runners in (RUNNERS, WAKE_RUNNERS) if on_wake else (RUNNERS,):
            runners.append(entry)
            runners.sort(key=lambda each: each[:2])
        return runner

    return register


def _handle_message(world: World, arrived: MessageArrived) -> None:
    """Pass a message to its handlers; discard one whose values are out of range."""
    for handler in MESSAGE_HANDLERS.get(type(arrived.message), ()):
        try:
            handler(world, arrived.sender, arrived.message)
        except ValueError as error:
            LOG.warning("peers: discarded a message from %s: %s", arrived.sender, error)


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
    """Run one step: detect a pause, drain the inbox, run the systems.

    A step between two ticks, ``woken`` by an arrival, runs only the few systems
    that serve requests. A system may send messages to the daemon itself, so the
    inbox is drained after each system.
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
