"""Log lines: each decision has a kind, is rate-limited, and never blocks its caller."""

import io
import json
import logging
import re
import threading
import time
from pathlib import Path

import pytest
from click.testing import CliRunner

from kestreltally.cli.logs import logs
from kestreltally.decisions import (
    COUNTS,
    FIELDS,
    Decision,
    LogRateLimiter,
    log_decision,
)
from kestreltally.fleet.model import RequestKind
from kestreltally.logs import MAX_QUEUED_LINES, LineWriter
from kestreltally.timeline.loglines import (
    LogLine,
    count_causes,
    explain_request,
    read_lines,
)
from tests.entryrig import ScriptedEndpoint, make_route, run_entry
from tests.test_entry import answer_whole, close_connection, refuse, stay_silent

SOURCES = Path(__file__).resolve().parent.parent / "src" / "kestreltally"


def read_sources() -> str:
    paths = [p for p in SOURCES.rglob("*.py") if p.name != "decisions.py"]
    return "\n".join(path.read_text() for path in paths)


@pytest.mark.parametrize("decision", list(Decision), ids=lambda each: each.name)
def test_each_kind_is_written_and_listed(decision: Decision) -> None:
    if decision is not Decision.LOGS_LEFT_OUT:
        assert f"Decision.{decision.name}" in read_sources()
    page = (SOURCES.parent.parent / "docs" / "OPERATIONS.md").read_text()
    assert f"`{decision.text}`" in page


def test_platform_daemon_logs_only_catalogued_decisions() -> None:
    parts = ("entry", "knowledge", "placing", "fleet", "platform", "poison")
    for part in parts:
        for path in (SOURCES / part).glob("*.py"):
            found = re.findall(r"LOG\.(info|warning|error|exception)", path.read_text())
            assert not found, path


def collect(
    caplog: pytest.LogCaptureFixture, event: Decision
) -> list[dict[str, object]]:
    return [
        getattr(record, FIELDS)
        for record in caplog.records
        if record.getMessage() == event.text
    ]


@pytest.mark.parametrize(
    ("script", "event", "trail"),
    [
        (answer_whole, Decision.REQUEST_DONE, 1),
        (refuse, Decision.REQUEST_REFUSED, 2),
        (close_connection, Decision.REQUEST_REFUSED, 2),
        (stay_silent, Decision.REQUEST_REFUSED, 1),
    ],
)
async def test_every_request_ends_with_a_line_that_contains_its_trail(
    script: object, event: Decision, trail: int, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    endpoint = ScriptedEndpoint("e1", script)  # type: ignore[arg-type]
    route = make_route(RequestKind.UNSAFE, timeout=0.4)
    async with run_entry([endpoint], route) as rig:
        await rig.ask("POST", body=b"x", request_id="named")
    (line,) = collect(caplog, event)
    assert line["request"] == "named"
    assert line["configuration"] == 1
    assert isinstance(line["trail"], list) and len(line["trail"]) >= trail


def test_lines_above_the_rate_are_suppressed_and_counted() -> None:
    limiter = LogRateLimiter()
    kept = sum(limiter.allows(Decision.REQUEST_DONE, 1.0) for _ in range(500))
    assert kept == Decision.REQUEST_DONE.lines_per_second
    assert limiter.pop_suppressed() == {"request_done": 500 - kept}
    assert limiter.allows(Decision.REQUEST_DONE, 2.0)
    assert limiter.allows(Decision.REQUEST_REFUSED, 1.0)


class BlockedStream(io.StringIO):
    """A standard output that blocks until it is released."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()

    def write(self, text: str) -> int:
        self.released.wait(10.0)
        return super().write(text)


def test_a_blocked_output_does_not_block_callers_and_drops_are_counted() -> None:
    stream = BlockedStream()
    writer = LineWriter(stream, "vm-1")
    logger = logging.getLogger("test.blocked")
    logger.propagate = False
    logger.addHandler(writer)
    logger.setLevel(logging.INFO)
    logger.info("first")
    time.sleep(0.2)
    began = time.monotonic()
    for number in range(MAX_QUEUED_LINES + 100):
        logger.info("line", extra={FIELDS: {"number": number}})
    assert time.monotonic() - began < 1.0
    assert writer.pop_dropped() == 100
    stream.released.set()
    writer.close()
    time.sleep(0.3)
    lines = [json.loads(text) for text in stream.getvalue().splitlines()]
    assert lines[0]["event"] == "first" and lines[0]["vm"] == "vm-1"
    assert lines[-1]["number"] == MAX_QUEUED_LINES - 1


def test_decisions_are_counted_even_if_their_lines_are_suppressed() -> None:
    before = COUNTS[Decision.HISTORY_GONE]
    for _ in range(50):
        log_decision(logging.getLogger("test"), Decision.HISTORY_GONE, kind="x")
    assert COUNTS[Decision.HISTORY_GONE] == before + 50


LINES = """
  1.000 a {"at": 1.0, "vm": "a", "event": "relay: request waits for weights", \
"request": "q1", "weights": "m/a1", "load_wait": 0.3}
no line of ours
{"at": 1.5, "vm": "a", "event": "feed: leader lost", "lease": "north"}
{"at": 2.0, "vm": "a", "event": "entry: request refused", "request": "q1", \
"status": 503, "reason": "m/a1 is not loaded", "retry_after": 1.0, "took": 1.0, \
"configuration": 3, "trail": []}
{"at": 2.5, "vm": "b", "event": "entry: request done", "request": "q2", \
"status": 200, "took": 0.1, "first": 0.05, "waited": 0, "trail": ["e1 of 1"]}
"""


def test_a_request_is_explained_from_the_lines_of_all_daemons() -> None:
    explanation = explain_request(read_lines([io.StringIO(LINES)]), "q1")
    assert explanation is not None
    assert explanation.cause == "m/a1 is not loaded"
    assert "waits for m/a1" in explanation.sentences[0]
    assert "to come back in 1.0 s" in explanation.sentences[1]
    assert "leader lost" in explanation.nearby[0]


STOPPED_REQUEST_LINES = """
{"at": 1.0, "vm": "b", "event": "poison: endpoint ended under requests", \
"endpoint": "e1", "content": ["c0ffee", "beef"]}
{"at": 1.5, "vm": "b", "event": "poison: endpoint ended under requests", \
"endpoint": "e2", "content": ["beef"]}
{"at": 9.0, "vm": "a", "event": "poison: request stopped", "content": "c0ffee"}
{"at": 90.0, "vm": "a", "event": "entry: request refused", "request": "q1", \
"status": 503, "reason": "stopped", "retry_after": 800.0, "content": "c0ffee"}
"""


def test_lines_of_other_daemons_about_stopped_content_are_listed() -> None:
    explanation = explain_request(
        read_lines([io.StringIO(STOPPED_REQUEST_LINES)]), "q1"
    )
    assert explanation is not None
    assert [line.partition(" {")[0] for line in explanation.nearby] == [
        "1.000 b: poison: endpoint ended under requests",
        "9.000 a: poison: request stopped",
    ]


def test_the_command_explains_and_counts(tmp_path: Path) -> None:
    path = tmp_path / "a.log"
    path.write_text(LINES)
    run = CliRunner().invoke(logs, ["explain", "q1", str(path)])
    assert run.exit_code == 0 and "request q1: m/a1 is not loaded" in run.output
    run = CliRunner().invoke(logs, ["causes", str(path)])
    assert run.output.split() == ["1", "m/a1", "is", "not", "loaded"]
    assert CliRunner().invoke(logs, ["explain", "zz", str(path)]).exit_code == 1


def test_causes_are_counted_across_adapters() -> None:
    ends = [
        {"reason": "base/a1 is not loaded", "weights": "base/a1"},
        {"reason": "base/a2 is not loaded", "weights": "base/a2"},
        {"reason": "no route", "weights": None},
    ]
    lines = [
        LogLine(
            float(at), "vm-1", Decision.REQUEST_REFUSED.text, {"request": at, **end}
        )
        for at, end in enumerate(ends)
    ]
    assert count_causes(lines) == {"an adapter is not loaded": 2, "no route": 1}
