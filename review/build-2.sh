#!/bin/sh
# Build the stand-ins of the cases 6 to 10. All are Python: those of this review in
# review/stand_ins_2, and the project's own store, which the build of the deploy file
# copies into target/deps together with the libraries.
cd "$(dirname "$0")/.." || exit 2
[ -f target/deps/poplardrum/standins/kv.py ] || {
    echo 'run the build of deploy/system.toml first'
    exit 2
}
PYTHONPATH="$PWD/target/deps:$PWD/review" python3 -S -c \
    'from stand_ins_2 import proxies, site, workers' || exit 1
