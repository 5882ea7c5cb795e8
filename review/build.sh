#!/usr/bin/env bash
# Compiles the stand-ins that the cases start; they need Python 3.11 or newer and no library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
PYTHONPYCACHEPREFIX="$PWD/target/review" python3 -m compileall -q review
