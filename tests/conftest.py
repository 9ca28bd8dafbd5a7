"""Marks the tests listed in KNOWN-RED.txt as expected failures and prints them.

A line of that file holds a test's node id, the cause and the issue, separated by bars.
"""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_red() -> dict[str, str]:
    if not KNOWN_RED.exists():
        return {}
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    named = (line.partition("|") for line in lines if line.strip())
    return {test.strip(): rest.strip() for test, _, rest in named}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known = read_known_red()
    for item in items:
        reason = known.get(item.nodeid.partition("[")[0])
        if reason is not None:
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for test, reason in read_known_red().items():
        terminalreporter.write_line(f"known red: {test}: {reason}")
