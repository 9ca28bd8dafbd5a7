#!/usr/bin/env bash
# Builds the stand-ins of review/4 to review/8: Python files that need only what the
# deploy file builds into target/deps (aiohttp).
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/rig review/4 review/5 review/6 review/7 review/8
PYTHONPATH=target/deps:review python3 -c 'import rig.engine, rig.streams, rig.plain_process'
