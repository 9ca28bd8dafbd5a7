"""Tells a few daemons where a stream began, and asks them when a client takes it up.

A daemon tells before the client gets the first event, so that the loss of the daemon
loses nothing that its clients have seen. All of it happens only while endpoints of
several software versions serve, or lately have.
"""

import asyncio
import math
import time
from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from itertools import count
from typing import Any, Final

from kestreltally.deployment import SocketAddress
from kestreltally.fleet.model import Seconds, ServiceName, SoftwareVersion
from kestreltally.knowledge.datagrams import DatagramPort
from kestreltally.knowledge.directory import RegistrarDirectory
from kestreltally.knowledge.origin_record import MAX_KEPT_STREAMS
from kestreltally.knowledge.stream_question import StreamQuestion
from kestreltally.knowledge.structs import StreamAnswered, StreamAsked, StreamRow
from kestreltally.streams.evidence import NOT_ASKED, Denial, Inquiry
from kestreltally.streams.names import StreamName
from kestreltally.streams.origins import StreamOrigin
from kestreltally.streams.register import KnownStream, StreamRegister
from kestreltally.streams.registrars import Registrar, rank_registrars
from kestreltally.streams.versions import MAX_STREAM_LIFE

# Daemons that keep a stream's origin besides the one that began it.
REGISTRARS: Final = 3
# Daemons that are asked at once, those asked for one stream, and the pause without all
# answers after which the next ones are asked.
ASKED_AT_ONCE: Final = 3
MAX_ASKED: Final = 9
ROUND_TIMEOUT: Final[Seconds] = 0.05
# How long the last answers are waited for.
LAST_TIMEOUT: Final[Seconds] = 0.2
# Streams that are asked for at the same time; others are not known.
MAX_QUESTIONS: Final = 1_024
# Streams that wait for a leader; a leader keeps no more in the store.
MAX_FOR_LEADER: Final = MAX_KEPT_STREAMS
# Streams in one datagram: with long names they fill it.
MAX_ROWS: Final = 12


class StreamExchange:
    """Keeps the origins of streams together with some other daemons.

    ``find_leader`` returns the address of the leader that this daemon follows, and
    ``deny`` what this daemon says of a service's streams that it does not know.
    """

    def __init__(
        self,
        directory: RegistrarDirectory,
        register: StreamRegister,
        datagrams: DatagramPort,
        clock: Callable[[], Seconds],
    ) -> None:
        self._directory = directory
        self._register = register
        self._datagrams = datagrams
        self._clock = clock
        # Answers to an earlier start of this daemon must not match.
        self._numbers = count(time.time_ns())
        self._questions: dict[int, StreamQuestion] = {}
        # Streams that the leader has not been told of; it keeps them in the store.
        self._for_leader: deque[KnownStream] = deque(maxlen=MAX_FOR_LEADER)
        self.find_leader: Callable[[], SocketAddress | None] = lambda: None
        self.deny: Callable[[ServiceName], Denial] = _deny_without_list
        self.counts: Counter[str] = Counter()
        datagrams.handlers["streams"] = self._apply_told
        datagrams.handlers["stream_asked"] = self._answer
        datagrams.handlers["stream_answered"] = self._apply_answers

    def tell(self, streams: Iterable[KnownStream]) -> None:
        """Tell the registrars of streams that this daemon began."""
        others = self._directory.list_others()
        by_registrar: dict[SocketAddress, list[KnownStream]] = {}
        for stream in streams:
            self._for_leader.append(stream)
            for registrar in rank_registrars(stream.name, others)[:REGISTRARS]:
                by_registrar.setdefault(registrar.address, []).append(stream)
            if others:
                self._register.record_told(stream.name)
                self.counts["told"] += 1
        for address, told in by_registrar.items():
            for rows in _split(told):
                self._datagrams.send(address, streams=[self._encode(r) for r in rows])

    def tell_leader(self) -> None:
        """Tell the leader, if there is one, of the streams told of since the last call.

        It needs them for its next write only, so many are sent in one datagram.
        """
        leader = self.find_leader() if self._for_leader else None
        if leader is None:
            return
        for rows in _split(list(self._for_leader)):
            self._datagrams.send(leader, streams=[self._encode(r) for r in rows])
        self._for_leader.clear()

    def tell_untold(self) -> None:
        """Tell of the streams that began while nobody had to know."""
        untold = list(self._register.list_untold())
        if untold:
            self.tell(untold)

    async def ask(self, name: StreamName) -> KnownStream | None:
        """Return what other daemons know of a stream, None if none of them does."""
        return (await self.inquire(name)).found

    async def inquire(
        self,
        name: StreamName,
        service: ServiceName | None = None,
        only: StreamOrigin | None = None,
    ) -> Inquiry:
        """Ask other daemons for a stream until one knows it, or all have been asked.

        Those that are asked first may confirm that it began at the origin ``only``.
        """
        ranked = rank_registrars(name, self._directory.list_others())[:MAX_ASKED]
        if not ranked or len(self._questions) >= MAX_QUESTIONS:
            return NOT_ASKED
        registrars = tuple(each.address for each in ranked[:REGISTRARS])
        number, question = next(self._numbers), StreamQuestion(
            name, service, registrars
        )
        self._questions[number] = question
        self.counts["asked"] += 1
        try:
            while ranked and not question.is_answered(only):
                asked, ranked = ranked[:ASKED_AT_ONCE], ranked[ASKED_AT_ONCE:]
                self._send_question(number, question, asked)
                timeout = ROUND_TIMEOUT if ranked else LAST_TIMEOUT
                await _wait(question.answered, timeout)
        finally:
            del self._questions[number]
        if question.found is not None:
            self._register.record(question.found)
        return question.summarise()

    def _send_question(
        self,
        number: int,
        question: StreamQuestion,
        registrars: Sequence[Registrar],
    ) -> None:
        row = StreamAsked(
            number=number, name=question.name, service_name=question.service
        )
        question.record_asked(each.address for each in registrars)
        for registrar in registrars:
            self._datagrams.send(registrar.address, stream_asked=[row])

    def _apply_told(self, message: Any, _: SocketAddress) -> None:
        for row in message.streams:
            self._register.record(self._decode(row))

    def _answer(self, message: Any, sender: SocketAddress) -> None:
        answers = []
        for asked in message.stream_asked:
            known = self._register.find(StreamName(asked.name), self._clock())
            answers.append(
                self._encode_denial(asked)
                if known is None
                else StreamAnswered(number=asked.number, stream=self._encode(known))
            )
        self._datagrams.send(sender, stream_answered=answers)

    def _encode_denial(self, asked: Any) -> Any:
        denial = self.deny(ServiceName(asked.service_name or ""))
        return StreamAnswered(
            number=asked.number,
            only_software=denial.only.software if denial.only is not None else None,
            list_age=denial.list_age,
        )

    def _apply_answers(self, message: Any, sender: SocketAddress) -> None:
        for answer in message.stream_answered:
            question = self._questions.get(answer.number)
            if question is None:
                continue
            if answer.stream is not None:
                question.record_found(self._decode(answer.stream))
            else:
                question.record_denial(sender, _decode_denial(question, answer))

    def _encode(self, stream: KnownStream) -> Any:
        origin = stream.origin
        return StreamRow(
            name=stream.name,
            service_name=origin.service if origin is not None else None,
            software=origin.software if origin is not None else None,
            lasts=stream.expires_at - self._clock(),
        )

    def _decode(self, row: Any) -> KnownStream:
        """Return the stream of a struct; one without a service has no known origin."""
        lasts = min(MAX_STREAM_LIFE, max(0.0, row.lasts or 0.0))
        origin = None
        if row.service_name is not None:
            software = SoftwareVersion(row.software or "")
            origin = StreamOrigin(ServiceName(row.service_name), software)
        return KnownStream(StreamName(row.name), origin, self._clock() + lasts)


def _decode_denial(question: StreamQuestion, answer: Any) -> Denial:
    """Return a denial; one of an earlier build says nothing of versions."""
    only = None
    if question.service is not None and answer.only_software is not None:
        software = SoftwareVersion(answer.only_software)
        only = StreamOrigin(question.service, software)
    return Denial(only, math.inf if answer.list_age is None else answer.list_age)


def _deny_without_list(_: ServiceName) -> Denial:
    return Denial(None, math.inf)


def _split(streams: Sequence[KnownStream]) -> Iterator[Sequence[KnownStream]]:
    """Yield parts that fit into one datagram each."""
    for start in range(0, len(streams), MAX_ROWS):
        yield streams[start : start + MAX_ROWS]


async def _wait(event: asyncio.Event, timeout: Seconds) -> None:
    """Wait for an event, or until the timeout."""
    try:
        async with asyncio.timeout(timeout):
            await event.wait()
    except TimeoutError:
        return
