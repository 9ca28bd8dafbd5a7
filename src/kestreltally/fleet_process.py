"""The process of a daemon: settings, signals, start and stop, exit status."""

import asyncio
import gc
import logging
import signal
import sys
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.deployment import Deployment
from kestreltally.eventloop import run_with_suspensions
from kestreltally.fleet_daemon import FleetDaemon
from kestreltally.logs import LineWriter, set_up_structured_logs
from kestreltally.platform.settings import (
    InvalidDeployment,
    get_settings_path,
    load_deployment,
)

LOG = logging.getLogger("kestreltally.daemon")

EXIT_INVALID_SETTINGS: Final = 2
EXIT_CANNOT_LISTEN: Final = 3


async def run_daemon(deployment: Deployment, lines: LineWriter) -> int:
    """Run until SIGTERM; return the exit status."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload)
    daemon = FleetDaemon(deployment, lines)
    try:
        await daemon.start()
    except OSError as error:
        log_decision(LOG, Decision.DAEMON_CANNOT_LISTEN, reason=str(error))
        await daemon.close()
        return EXIT_CANNOT_LISTEN
    # Objects created so far are long-lived; exclude them from garbage collection.
    gc.freeze()
    gc.enable()
    await stop.wait()
    await daemon.stop()
    await daemon.close()
    log_decision(LOG, Decision.DAEMON_STOPPED)
    return 0


def _reload() -> None:
    """Validate the settings file again; addresses take effect at the next start."""
    try:
        load_deployment(get_settings_path())
    except InvalidDeployment as error:
        log_decision(LOG, Decision.DAEMON_SETTINGS_NOT_TAKEN, reason=str(error))
        return
    log_decision(LOG, Decision.DAEMON_SETTINGS_READ_AGAIN)


def main() -> None:
    """Run the daemon with the settings file provided by the platform."""
    try:
        deployment = load_deployment(get_settings_path())
    except InvalidDeployment as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(EXIT_INVALID_SETTINGS)
    lines = set_up_structured_logs(deployment.vm)
    status = run_with_suspensions(run_daemon(deployment, lines))
    lines.close()
    sys.exit(status)
