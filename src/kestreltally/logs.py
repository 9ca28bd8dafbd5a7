"""Logs: short sentences with a fixed prefix per part, as text or JSON lines."""

import logging
import sys
from typing import Final

from pythonjsonlogger.json import JsonFormatter

from kestreltally.settings import Logging

TEXT_FORMAT: Final = "%(asctime)s %(levelname)s %(message)s"
JSON_FORMAT: Final = "%(asctime)s %(levelname)s %(name)s %(message)s"


def set_up_logs(wanted: Logging, vm: str) -> None:
    """Send all logs to standard error in the wanted form."""
    handler = logging.StreamHandler(sys.stderr)
    if wanted.format == "json":
        handler.setFormatter(JsonFormatter(JSON_FORMAT, static_fields={"vm": vm}))
    else:
        handler.setFormatter(logging.Formatter(TEXT_FORMAT))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(wanted.level)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
    logging.getLogger("transitions").setLevel(logging.WARNING)


def set_up_structured_logs(vm: str) -> None:
    """Send all logs to standard output, one JSON object a line."""
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(JsonFormatter(JSON_FORMAT, static_fields={"vm": vm}))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    logging.getLogger("aiohttp").setLevel(logging.ERROR)
