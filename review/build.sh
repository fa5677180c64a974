#!/bin/sh
# The stand-ins are plain Python without dependencies; this only checks that
# they compile.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins [0-9]
