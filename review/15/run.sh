#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
export PYTHONPATH="$root/target/review-3:$root/target/deps" PYTHONDONTWRITEBYTECODE=1
python3 -S -c 'from stand_ins_3 import case' || exit 2
exec python3 -S case.py
