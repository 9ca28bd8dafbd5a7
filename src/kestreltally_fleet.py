"""Starts the daemon on the users' platform from a checkout."""

from kestreltally.fleet_daemon import main

if __name__ == "__main__":
    main()
