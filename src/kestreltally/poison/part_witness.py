"""Observes which parts of prompts ran at engines that crashed, and which ran well."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import Seconds, ServiceName
from kestreltally.platform.headers import PromptPart
from kestreltally.poison.facts import Clearing, IncarnationName, Sighting, make_clearing
from kestreltally.poison.fingerprints import Digest
from kestreltally.poison.part_register import PartBlock, PartRegister
from kestreltally.poison.parts import (
    InnocentParts,
    PartDigests,
    PartName,
    list_names,
    list_shared_parts,
)
from kestreltally.poison.secret import SharedSecret

# A part that crashes engines does so as they begin to answer: an answer that has gone
# on for this long has got past it.
MIN_PROGRESS: Final[Seconds] = 0.5
# Crashes tell about parts only while other requests of the service are served.
SERVED_WITHIN: Final[Seconds] = 10.0


@dataclass(frozen=True, slots=True)
class CrashedRequest:
    """A request that ran at an engine as it crashed, or shortly before.

    ``answered_at`` is when its first event came, None if none did.
    """

    service: ServiceName
    prompt: tuple[PromptPart, ...]
    sent_at: Seconds
    ended_at: Seconds
    answered_at: Seconds | None

    @property
    def got_far(self) -> bool:
        """Return whether its answer had gone on well past its beginning."""
        answered_at = self.answered_at
        return answered_at is not None and self.ended_at - answered_at >= MIN_PROGRESS


class PartWitness:
    """What this daemon has seen of parts of prompts.

    ``witness`` is the random number of this process in its sightings.
    """

    def __init__(
        self,
        register: PartRegister,
        secret: SharedSecret,
        witness: int,
        clock: Callable[[], Seconds],
    ) -> None:
        self._register = register
        self._secret = secret
        self._witness = witness
        self._clock = clock
        self._digests = PartDigests()
        self._innocent = InnocentParts()
        self._served_at: dict[ServiceName, Seconds] = {}

    def find_block(
        self, service: ServiceName, prompt: tuple[PromptPart, ...]
    ) -> PartBlock | None:
        """Return why a request with a prompt must not run now, None if it can."""
        if not self._register or not self._secret.value:
            return None
        names = list_names(service, list_shared_parts(prompt))
        return self._register.find_block([self._digest(each) for each in names])

    def _digest(self, name: PartName) -> Digest:
        return self._digests.compute(name, self._secret.value).digest

    def record_served(
        self, service: ServiceName, prompt: tuple[PromptPart, ...]
    ) -> list[Clearing]:
        """Record that a request was served; return the clearings of its parts."""
        now = self._clock()
        self._served_at[service] = now
        shared = list_shared_parts(prompt)
        self._innocent.add(service, shared)
        if not self._register or not self._secret.value:
            return []
        names = list_names(service, shared)
        fingerprints = (self._digests.compute(n, self._secret.value) for n in names)
        return [
            make_clearing(each, now)
            for each in fingerprints
            if self._register.is_suspect(each.digest)
        ]

    def record_crash(
        self, incarnation: IncarnationName, requests: Sequence[CrashedRequest]
    ) -> list[Sighting | Clearing]:
        """Return the facts on the parts of requests that ran at a crashed engine."""
        facts: list[Sighting | Clearing] = []
        for each in requests:
            if each.got_far:
                facts.extend(self.record_served(each.service, each.prompt))
        suspected = [each for each in requests if not each.got_far]
        facts.extend(self._make_sightings(incarnation, suspected))
        return facts

    def _make_sightings(
        self, incarnation: IncarnationName, requests: Iterable[CrashedRequest]
    ) -> list[Sighting]:
        """Return a sighting of each part, with the parts that it was together with."""
        if not self._secret.value:
            return []
        together: dict[PartName, set[PartName]] = {}
        first: dict[PartName, CrashedRequest] = {}
        for each in requests:
            served_at = self._served_at.get(each.service, float("-inf"))
            if self._clock() - served_at > SERVED_WITHIN:
                continue
            shared = list_shared_parts(each.prompt)
            others = self._innocent.list_others(each.service, shared)
            suspected = set(list_names(each.service, others))
            for name in suspected:
                together.setdefault(name, set()).update(suspected)
                first.setdefault(name, each)
        return [
            Sighting(
                fingerprint=self._digests.compute(name, self._secret.value),
                incarnation=incarnation,
                sent_at=first[name].sent_at,
                ended_at=first[name].ended_at,
                answered=first[name].answered_at is not None,
                witness=self._witness,
                companions=tuple(sorted(self._digest(e) for e in group - {name})),
            )
            for name, group in together.items()
        ]
