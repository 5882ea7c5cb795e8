#!/bin/sh
# The stand-ins use Python's standard library alone and run from source: building them is to see that they load.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 python3 -S -c 'import standins2.case'
