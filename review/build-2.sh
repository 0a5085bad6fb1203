#!/bin/sh
# Builds the stand-ins that the cases 6 and later start: Python programs that need nothing but the environment
# that the deploy file's build leaves. They are compiled once, so that a fault in them shows here.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/second $(for n in 6 7 8 9 10; do test -d review/$n && echo review/$n; done)
