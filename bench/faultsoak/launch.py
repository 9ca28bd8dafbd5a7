"""Starts a daemon whose connections to endpoints go through its own proxies.

Arguments: the file with its table of paths, and the program.
"""

import signal

# As the program itself: a reload that comes this early must not end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# ruff: noqa: E402
import runpy
import sys
from pathlib import Path

from bench.faultsoak.cuts import RESOLVER, FileResolver, redirect_connections

if __name__ == "__main__":
    paths, program = sys.argv[1:]
    RESOLVER.set(FileResolver(Path(paths)))
    redirect_connections()
    sys.path.insert(0, str(Path(program).parent))
    runpy.run_path(program, run_name="__main__")
