"""The stages of a request and the steps allowed between them."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from transitions import Machine

from kestreltally.entities.ids import (
    AdapterVersion,
    EndpointId,
    Priority,
    RequestId,
    Revision,
    Seconds,
)


class Stage(Enum):
    """The stage of a request."""

    RECEIVED = "received"
    WAITING = "waiting"
    SENT = "sent"
    STREAMING = "streaming"
    DONE = "done"
    REFUSED = "refused"
    FAILED = "failed"


class Step(Enum):
    """A step from one stage to another."""

    ADMIT = "admit"
    SEND = "send"
    STREAM = "stream"
    RETRY = "retry"
    FINISH = "finish"
    REFUSE = "refuse"
    FAIL = "fail"


TRANSITIONS: Final = (
    (Step.ADMIT, Stage.RECEIVED, Stage.WAITING),
    (Step.REFUSE, Stage.RECEIVED, Stage.REFUSED),
    (Step.SEND, Stage.WAITING, Stage.SENT),
    (Step.REFUSE, Stage.WAITING, Stage.REFUSED),
    (Step.FAIL, Stage.WAITING, Stage.FAILED),
    (Step.STREAM, Stage.SENT, Stage.STREAMING),
    (Step.RETRY, Stage.SENT, Stage.WAITING),
    (Step.REFUSE, Stage.SENT, Stage.REFUSED),
    (Step.FAIL, Stage.SENT, Stage.FAILED),
    (Step.FINISH, Stage.SENT, Stage.DONE),
    (Step.RETRY, Stage.STREAMING, Stage.WAITING),
    (Step.FINISH, Stage.STREAMING, Stage.DONE),
    (Step.FAIL, Stage.STREAMING, Stage.FAILED),
)

STATE_MACHINE: Final = Machine(
    model=None,
    states=Stage,
    initial=Stage.RECEIVED,
    auto_transitions=False,
    transitions=[
        {"trigger": step.value, "source": source, "dest": dest}
        for step, source, dest in TRANSITIONS
    ],
)
FINAL_STAGES: Final = frozenset({Stage.DONE, Stage.REFUSED, Stage.FAILED})

# The state machine validates the transitions on import. Requests use a look-up table:
# attaching a model to the machine for each request costs more than the rest of serving
# it.
NEXT_STAGES: Final = {
    (Stage[each.source], Step(name)): Stage[str(each.dest)]
    for name, event in STATE_MACHINE.events.items()
    for transitions in event.transitions.values()
    for each in transitions
}


class InvalidStep(RuntimeError):
    """The stage of the request does not allow the step."""


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """One request in the table of live requests."""

    request: RequestId
    caller: str
    adapter: AdapterVersion
    priority: Priority
    repeatable: bool
    revision: Revision
    since: Seconds
    stage: Stage = Stage.RECEIVED
    endpoint: EndpointId = EndpointId("")
    attempts: int = 0


def get_next_stage(stage: Stage, step: Step) -> Stage:
    """Return the stage after a step; raises ``InvalidStep``."""
    found = NEXT_STAGES.get((stage, step))
    if found is None:
        raise InvalidStep(f"step {step.value} is not allowed in stage {stage.value}")
    return found
