"""What a daemon does in the first moments of its process."""

import os
import signal
import subprocess
import sys
from pathlib import Path

SOURCES = Path(__file__).resolve().parent.parent / "src"
# Replaces the daemon by one that reports how its signals are set.
PROGRAM = """
import signal, sys, types
import kestreltally_fleet
assert "kestreltally.fleet_daemon" not in sys.modules
daemon = types.ModuleType("kestreltally.fleet_daemon")
daemon.main = lambda: print(signal.getsignal(signal.SIGHUP).name)
sys.modules["kestreltally.fleet_daemon"] = daemon
kestreltally_fleet.start()
"""


def test_sighup_during_start_does_not_end_daemon() -> None:
    # Fault soak, seed 111: SIGHUP reached a daemon that had just been started.
    result = subprocess.run(
        [sys.executable, "-c", PROGRAM],
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ, "PYTHONPATH": str(SOURCES)},
    )
    assert result.stdout.strip() == signal.Handlers.SIG_IGN.name
