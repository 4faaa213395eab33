#!/usr/bin/env bash
# Builds the stand-ins of review/4 to review/8: they are Python alone, with the standard library, so
# this checks that they compile.  The processes under test are built by deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
export PYTHONPYCACHEPREFIX=target/review-2
for file in review/standins2/*.py review/[4-8]/case.py; do
  [ -e "$file" ] || continue
  python3 -m py_compile "$file"
done
