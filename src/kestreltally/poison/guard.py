"""The relay's interface for detecting and stopping requests that crash endpoints."""

import asyncio
from collections.abc import Callable

from kestreltally.entry.request import ClientRequest
from kestreltally.fleet.model import EndpointId, Seconds
from kestreltally.poison.crash_detector import CrashDetector
from kestreltally.poison.part_register import PartBlock
from kestreltally.poison.register import Block, PoisonRegister
from kestreltally.poison.secret import SharedSecret


def _read_clock() -> Seconds:
    return asyncio.get_running_loop().time()


class PoisonGuard:
    """The crash detector, the register of suspects, and the secret they share."""

    def __init__(self, received_at: Callable[[EndpointId], Seconds]) -> None:
        self.secret = SharedSecret(_read_clock, self._clear_digests)
        self.register = PoisonRegister(_read_clock)
        self.crash_detector = CrashDetector(
            self.register, self.secret, received_at, _read_clock
        )

    def find_block(self, request: ClientRequest) -> Block | PartBlock | None:
        """Return why a request must not run now, None if it can run.

        Call it before each send, whatever the attempt, because every send counts.
        """
        fingerprint = self.crash_detector.identify(request)
        if fingerprint is not None:
            block = self.register.find_block(fingerprint.digest)
            if block is not None:
                return block
        return self.crash_detector.parts.find_block(
            request.service_name, request.head.parts
        )

    def run_maintenance(self) -> None:
        """Apply due verdicts and remove what no longer counts."""
        self.register.evaluate()
        self.crash_detector.prune_old()
        self.register.prune_old()

    def _clear_digests(self) -> None:
        self.register.clear()
        self.crash_detector.clear()
