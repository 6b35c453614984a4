#!/usr/bin/env bash
# Checks that the stand-ins of the cases can be loaded. They are Python, the
# project's own ones are part of the package that the deploy file's build puts
# into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review/stand_ins \
    python3 -S -c 'import small_site; print("stand-ins can be loaded")'
