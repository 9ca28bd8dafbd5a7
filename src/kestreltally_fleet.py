"""Starts the daemon on the users' platform from a checkout."""

import gc
import signal


def start() -> None:
    """Run the daemon, ignoring SIGHUP until its own handler is installed.

    Importing the modules takes a third of a second, and by default SIGHUP, which asks
    for a reload of the settings, ends the process. No reload is lost: the settings are
    read after this point.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imports create no garbage, and collecting takes 8 % of the processor time of the
    # start. The collector is enabled again once the daemon listens.
    gc.disable()
    from kestreltally.fleet_process import main

    main()


if __name__ == "__main__":
    start()
