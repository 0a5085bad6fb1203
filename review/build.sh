#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file. They need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
