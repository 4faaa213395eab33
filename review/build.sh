#!/bin/sh
# Builds the stand-ins of the scripts: they use the standard library of Python only, so this
# checks that they compile.
cd "$(dirname "$0")" && exec python3 -m compileall -q standins 1 2 3
