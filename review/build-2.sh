#!/bin/sh
# Builds the stand-ins of the second review: they need Python only.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q -f review/standins_2 review/7 review/8 review/9 review/10
