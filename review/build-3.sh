#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15; runs after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3/stand_ins_3
mkdir -p target/review-3
cp -R review/stand_ins_3 target/review-3/stand_ins_3
python3 -S -m compileall -q target/review-3/stand_ins_3
PYTHONPATH=target/review-3:target/deps python3 -S -c 'from stand_ins_3 import deployment'
