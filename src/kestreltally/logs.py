"""Logs: short messages with a fixed prefix per component, as text or JSON lines."""

import json
import logging
import sys
import threading
import time
from collections import deque
from typing import TYPE_CHECKING, Final, TextIO

from pythonjsonlogger.json import JsonFormatter

from kestreltally.decisions import FIELDS

if TYPE_CHECKING:
    # Importing it at run time would load the YAML parser into daemons without YAML.
    from kestreltally.settings import Logging

TEXT_FORMAT: Final = "%(asctime)s %(levelname)s %(message)s"
# The capacity of the writer's queue: a few seconds' worth of lines at the highest rate.
MAX_QUEUED_LINES: Final = 4_000
# Lines that arrive within this time are written in one batch.
BATCH_DELAY_SECONDS: Final = 0.05
# How long ``close`` waits for queued lines to be written.
FLUSH_TIMEOUT_SECONDS: Final = 0.3
JSON_FORMAT: Final = "%(asctime)s %(levelname)s %(name)s %(message)s"


def set_up_logs(settings: "Logging", vm: str) -> None:
    """Send all logs to standard error in the configured format."""
    handler = logging.StreamHandler(sys.stderr)
    if settings.format == "json":
        handler.setFormatter(JsonFormatter(JSON_FORMAT, static_fields={"vm": vm}))
    else:
        handler.setFormatter(logging.Formatter(TEXT_FORMAT))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(settings.level)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
    logging.getLogger("transitions").setLevel(logging.WARNING)


class LineWriter(logging.Handler):
    """Writes lines in a separate thread, so that logging never blocks the caller.

    Lines wait in a bounded queue; lines that find it full are dropped and counted.
    """

    def __init__(self, stream: TextIO, vm: str) -> None:
        super().__init__()
        self._stream = stream
        self._vm = vm
        self._queue: deque[logging.LogRecord] = deque()
        self._wake = threading.Event()
        self._dropped = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or count it as dropped if the queue is full."""
        if len(self._queue) >= MAX_QUEUED_LINES:
            self._dropped += 1
            return
        self._queue.append(record)
        self._wake.set()

    def pop_dropped(self) -> int:
        """Return and reset the number of dropped lines."""
        dropped, self._dropped = self._dropped, 0
        return dropped

    def _run(self) -> None:
        while True:
            self._wake.wait()
            time.sleep(BATCH_DELAY_SECONDS)
            self._wake.clear()
            self._write_queued()

    def _write_queued(self) -> None:
        lines = []
        while self._queue:
            lines.append(self._format_line(self._queue.popleft()))
        if not lines:
            return
        try:
            self._stream.write("".join(lines))
            self._stream.flush()
        except (OSError, ValueError):
            # The output has no reader; the loss can be reported by the count only.
            self._dropped += len(lines)

    def _format_line(self, record: logging.LogRecord) -> str:
        line = {
            "at": round(record.created, 4),
            "level": record.levelname.lower(),
            "vm": self._vm,
            "event": record.getMessage(),
            **getattr(record, FIELDS, {}),
        }
        if record.exc_info:
            line["trace"] = logging.Formatter().formatException(record.exc_info)
        return json.dumps(line, default=str) + "\n"

    def close(self) -> None:
        """Wait a short time for queued lines to be written."""
        deadline = time.monotonic() + FLUSH_TIMEOUT_SECONDS
        while self._queue and time.monotonic() < deadline:
            time.sleep(BATCH_DELAY_SECONDS / 2)
        super().close()


def set_up_structured_logs(vm: str) -> LineWriter:
    """Send all logs to standard output, one JSON object a line."""
    writer = LineWriter(sys.stdout, vm)
    root = logging.getLogger()
    root.handlers[:] = [writer]
    root.setLevel(logging.INFO)
    logging.getLogger("aiohttp").setLevel(logging.ERROR)
    return writer
