"""What the sends of one request have shown: whether it may have run.

Some statuses promise a client that its request has not run and never will. Such a
promise needs a proof for each send; the lack of an answer is none, nor is a status.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from kestreltally.platform.headers import MISDIRECTED

# Statuses that tell a client that its request has not run.
PROMISE_STATUSES: Final = frozenset({408, 421, 429, 503})
MIN_REJECTION_STATUS: Final = 400


class Proof(Enum):
    """What proves that a send did not run."""

    NOT_WRITTEN = "nothing was written"
    STATED = "the endpoint states it"
    OTHER_INSTANCE = "another endpoint has the address"
    PEER_REFUSED = "the daemon that it was passed on to states it"


class AlreadyPromised(Exception):
    """A request was to be sent although it was promised that it never runs."""


@dataclass(frozen=True, slots=True)
class Rejection:
    """What an answer tells of whether its request ran.

    ``instance`` is the id of the endpoint that answered, empty if it is not named, and
    ``expected`` that of the one that was asked.
    """

    status: int
    says_not_run: bool
    instance: str
    expected: str


def find_proof(rejection: Rejection) -> Proof | None:
    """Return what proves that a request did not run, None if nothing does.

    An endpoint that is named in a request runs it only under that name. Any other 421
    proves nothing by itself.
    """
    if rejection.status < MIN_REJECTION_STATUS:
        return None
    if rejection.says_not_run:
        return Proof.STATED
    is_other = rejection.instance not in ("", rejection.expected)
    if rejection.status == MISDIRECTED and is_other:
        return Proof.OTHER_INSTANCE
    return None


@dataclass(slots=True, eq=False)
class Send:
    """One send of a request, which may run ``attempts`` times until it is disproved."""

    attempts: int = 1
    proof: Proof | None = None

    def disprove(self, proof: Proof) -> None:
        """Record what proves that the send did not run."""
        self.proof = proof


@dataclass(frozen=True, slots=True)
class NotRunPromise:
    """The proofs that no send of a request ran; only a ``SendLog`` makes one."""

    proofs: tuple[Proof, ...]


@dataclass(slots=True)
class SendLog:
    """All sends of one request."""

    _sends: list[Send] = field(default_factory=list)
    _promised: bool = False

    def start(self, attempts: int = 1) -> Send:
        """Record a send before its first byte is written.

        Raises ``AlreadyPromised``.
        """
        if self._promised:
            raise AlreadyPromised()
        send = Send(attempts)
        self._sends.append(send)
        return send

    @property
    def runs(self) -> int:
        """Return how many times the request may have run."""
        return sum(each.attempts for each in self._sends if each.proof is None)

    def prove_not_run(self) -> NotRunPromise | None:
        """Return the proof that the request never ran, None if it may have.

        Once there is one, the request is not sent any more.
        """
        proofs = tuple(each.proof for each in self._sends if each.proof is not None)
        if len(proofs) < len(self._sends):
            return None
        self._promised = True
        return NotRunPromise(proofs)
