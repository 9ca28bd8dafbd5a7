"""Extrapolate the measured slopes to the fleet size expected in two years."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

DAEMONS: Final = 1_100
ENGINES: Final = 3_300
DATA_CENTRES: Final = 12
ADAPTERS: Final = 27_000
REQUESTS: Final = 50_000.0
TOKENS: Final = 11_000_000.0
CHANGES_PER_DAY: Final = 3_500.0
FAILURES_PER_DAY: Final = 34.0
REPLACEMENTS_PER_DAY: Final = 600.0
RACK: Final = 40
UNREPEATABLE_FRACTION: Final = 0.05
DAY: Final = 86_400.0

CPU_BUDGET_PERCENT: Final = 1.4
MEMORY_BUDGET_MB: Final = 128.0
BYTES_BUDGET: Final = 16_000.0
WRITES_BUDGET: Final = 300.0
READS_BUDGET: Final = 2_000.0

HEARTBEATS_PER_SECOND: Final = 2.0
REPORTS_PER_SECOND: Final = 2.0
WATCH_WAIT: Final = 30.0
CONFIG_WATCH_WAIT: Final = 1.0
WATCHERS_PER_DATA_CENTRE: Final = 2
EVENTS_PER_REQUEST: Final = 7.0
TIMELINE_EVENTS: Final = 20_000
MICRO: Final = 1e-6


@dataclass(frozen=True)
class Slope:
    """A line fitted to measured points; ``residual`` is a fraction."""

    name: str
    unit: str
    base: float
    slope: float
    residual: float
    points: Sequence[tuple[float, float]]

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.base + self.slope * size


@dataclass(frozen=True)
class Slopes:
    """All measured slopes and costs."""

    tick_member: Slope
    tick_adapter: Slope
    tick_endpoint: Slope
    memory_member: Slope
    memory_adapter: Slope
    memory_endpoint: Slope
    entry_request: Slope
    leader_request: Slope
    request_bytes: float
    change_cpu: float
    change_bytes: float
    heartbeat_cpu: float
    heartbeat_empty_bytes: float
    heartbeat_rumour_bytes: float
    report_cpu: float
    relay_token: float
    event_cpu: float
    event_bytes: float
    idle_memory: float
    owners: Slope

    def list_fits(self) -> list[Slope]:
        """Return the fitted lines."""
        return [
            self.tick_member,
            self.tick_adapter,
            self.tick_endpoint,
            self.memory_member,
            self.memory_adapter,
            self.memory_endpoint,
            self.entry_request,
            self.leader_request,
            self.owners,
        ]


@dataclass(frozen=True)
class CostLine:
    """One term of a sum, with a note on how it is computed."""

    description: str
    value: float
    how: str


def list_cpu_lines(s: Slopes) -> list[CostLine]:
    """Return one daemon's CPU time for control, in per cent of a core."""
    percent = 100 * MICRO
    per_daemon = REQUESTS / DAEMONS
    membership_changes = (FAILURES_PER_DAY * 3 + REPLACEMENTS_PER_DAY * 3) / DAY
    tick = s.tick_member.at(DAEMONS) + max(0.0, s.tick_endpoint.slope) * ENGINES
    tick += max(0.0, s.tick_adapter.slope) * ADAPTERS
    return [
        CostLine("ticks over all tables", tick * percent, "10 a second"),
        CostLine(
            "permits as entry",
            per_daemon * s.entry_request.at(DAEMONS) * percent,
            f"{per_daemon:.1f} requests/s",
        ),
        CostLine(
            "permits as leader",
            per_daemon * s.leader_request.at(DAEMONS) * percent,
            f"{per_daemon:.1f} requests/s at 3 engines",
        ),
        CostLine(
            "heartbeats",
            2 * HEARTBEATS_PER_SECOND * s.heartbeat_cpu * percent,
            "2 sent and 2 answered a second",
        ),
        CostLine(
            "reports",
            3 * REPORTS_PER_SECOND * s.report_cpu * percent,
            "3 engines, 2/s each",
        ),
        CostLine(
            "owners worked out anew",
            membership_changes * s.owners.at(ENGINES) * percent,
            f"{membership_changes * DAY:.0f} changes of members a day",
        ),
        CostLine(
            "configuration",
            CHANGES_PER_DAY / DAY * s.change_cpu * percent,
            "3,500 changes a day",
        ),
        CostLine(
            "time line",
            per_daemon * EVENTS_PER_REQUEST * s.event_cpu * percent,
            f"{EVENTS_PER_REQUEST:.0f} events a request",
        ),
    ]


def list_byte_lines(s: Slopes) -> list[CostLine]:
    """Return one daemon's bytes/s for control, sent plus received."""
    per_daemon = REQUESTS / DAEMONS
    same_data_centre = DAEMONS / DATA_CENTRES
    return [
        CostLine("permits", 2 * per_daemon * s.request_bytes, "as entry and as leader"),
        CostLine(
            "heartbeats",
            2
            * HEARTBEATS_PER_SECOND
            * (s.heartbeat_empty_bytes + s.heartbeat_rumour_bytes)
            / 2,
            "half of them with 8 rumours",
        ),
        CostLine(
            "reports",
            3 * REPORTS_PER_SECOND * 600.0,
            "assumed: 600 B each, with HTTP heads",
        ),
        CostLine(
            "configuration pushes",
            CHANGES_PER_DAY / DAY * s.change_bytes * same_data_centre,
            "sent by a watcher to its data centre",
        ),
    ]


def list_memory_lines(s: Slopes) -> list[CostLine]:
    """Return one daemon's memory in MB."""
    mega = 1e-6
    return [
        CostLine("interpreter and libraries", s.idle_memory, "resident once imported"),
        CostLine("members", s.memory_member.slope * DAEMONS * mega, "1,100"),
        CostLine("adapters", s.memory_adapter.slope * ADAPTERS * mega, "27,000"),
        CostLine("endpoints", s.memory_endpoint.slope * ENGINES * mega, "3,300"),
        CostLine("time line", s.event_bytes * TIMELINE_EVENTS * mega, "20,000 events"),
    ]


def list_write_lines() -> list[CostLine]:
    """Return the object API's total writes per second by cause."""
    handovers = REPLACEMENTS_PER_DAY * 3 * 2
    takeovers = FAILURES_PER_DAY * 3 * 2
    return [
        CostLine(
            "claims",
            REQUESTS * UNREPEATABLE_FRACTION,
            "5% of requests not repeatable: assumed",
        ),
        CostLine(
            "leader records", (handovers + takeovers) / DAY, "written on change only"
        ),
        CostLine("configuration", CHANGES_PER_DAY / DAY, "by operators"),
    ]


def list_read_lines() -> list[CostLine]:
    """Return the object API's total reads per second by cause; a watch is one read."""
    changes = (REPLACEMENTS_PER_DAY + FAILURES_PER_DAY) * 3 * 2 / DAY
    watchers = DATA_CENTRES * WATCHERS_PER_DATA_CENTRE
    return [
        CostLine(
            "watches on leader records", DAEMONS / WATCH_WAIT, "one a daemon, 30 s"
        ),
        CostLine("wakes of these watches", changes * DAEMONS, "each change wakes all"),
        CostLine(
            "watches on the configuration",
            watchers / CONFIG_WATCH_WAIT,
            "2 daemons in each data centre, 1 s",
        ),
        CostLine(
            "wakes of these watches",
            CHANGES_PER_DAY / DAY * watchers,
            "3,500 changes a day",
        ),
        CostLine(
            "lists by new daemons",
            (REPLACEMENTS_PER_DAY + FAILURES_PER_DAY) * 2 / DAY,
            "two each",
        ),
    ]


def format_sum(title: str, unit: str, budget: float, lines: list[CostLine]) -> str:
    """Return a table of the terms of a sum, with the margin to its budget."""
    total = sum(line.value for line in lines)
    rows = [f"| {line.description} | {line.value:.4g} | {line.how} |" for line in lines]
    margin = budget / total
    label = "margin" if margin >= 1 else "**missed**, share of the budget there is"
    return "\n".join(
        [
            f"**{title}**",
            "",
            f"| part | {unit} | how |",
            "| --- | ---: | --- |",
            *rows,
            f"| **all** | **{total:.4g}** | budget {budget:g}; {label} {margin:.2f}x |",
            "",
        ]
    )


def format_fits(slopes: Slopes) -> str:
    """Return the table of the fitted lines and single costs."""
    rows = []
    for each in slopes.list_fits():
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in each.points)
        rows.append(
            f"| {each.name} | {each.base:.4g} + {each.slope:.4g} n {each.unit} "
            f"| {each.residual:.0%} | {points} |"
        )
    single = [
        ("bytes of a request's permit, both ways", f"{slopes.request_bytes:.0f} B"),
        ("a change taken in and written", f"{slopes.change_cpu:.0f} µs"),
        ("a change on the wire", f"{slopes.change_bytes:.0f} B"),
        ("a heartbeat read, answered and written", f"{slopes.heartbeat_cpu:.0f} µs"),
        (
            "a heartbeat and its answer, without and with 8 rumours",
            f"{slopes.heartbeat_empty_bytes:.0f} and "
            f"{slopes.heartbeat_rumour_bytes:.0f} B",
        ),
        ("a report fetched, both ends", f"{slopes.report_cpu:.0f} µs"),
        ("a token followed by the relay", f"{slopes.relay_token:.2f} µs"),
        ("an event of the time line", f"{slopes.event_cpu:.1f} µs"),
        ("an event kept", f"{slopes.event_bytes:.0f} B"),
    ]
    return "\n".join(
        [
            "**Slopes**",
            "",
            "| what | line | residual | points |",
            "| --- | --- | ---: | --- |",
            *rows,
            "",
            "| what | each |",
            "| --- | ---: |",
            *(f"| {what} | {value} |" for what, value in single),
            "",
        ]
    )


def format_page_tables(slopes: Slopes) -> str:
    """Return the tables of docs/CAPACITY.md, with the limiting sums first."""
    return "\n".join(
        [
            format_sum(
                "Object API, writes a second by cause",
                "writes/s",
                WRITES_BUDGET,
                list_write_lines(),
            ),
            format_sum(
                "Object API, reads a second by cause",
                "reads/s",
                READS_BUDGET,
                list_read_lines(),
            ),
            format_sum(
                "Control cost of one daemon: processor",
                "% of a core",
                CPU_BUDGET_PERCENT,
                list_cpu_lines(slopes),
            ),
            format_sum(
                "Control cost of one daemon: network",
                "B/s",
                BYTES_BUDGET,
                list_byte_lines(slopes),
            ),
            format_sum(
                "Control cost of one daemon: memory",
                "MB",
                MEMORY_BUDGET_MB,
                list_memory_lines(slopes),
            ),
            format_fits(slopes),
        ]
    )
