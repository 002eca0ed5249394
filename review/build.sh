#!/usr/bin/env bash
# Checks that the stand-ins of the scripts can be compiled; they need nothing else.
set -eu
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX=target/review python3 -m compileall -q review
