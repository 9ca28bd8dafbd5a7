#!/usr/bin/env bash
# The stand-ins are Python files that need only what the deploy file builds (aiohttp).
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review
