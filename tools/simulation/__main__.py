"""Simulate: `python -m tools.simulation --seed 1 --count 100`."""

import argparse
import logging
import os
import sys
import typing

from poplardrum.dispatch import clocks
from tools.simulation import scenario


class _EventHandler(logging.Handler):
    """Print log events with the time of the simulation."""

    def emit(self, record: logging.LogRecord) -> None:
        details = getattr(record, 'details', {})
        job = getattr(record, 'job', None) or ''
        print(f'{clocks.now():.4f}', record.getMessage(), job, details)


def main(arguments: typing.Sequence[str]) -> int:
    """Run scenarios with consecutive seeds; return 1 if one failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--log', action='store_true')
    options = parser.parse_args(arguments)
    logging.basicConfig(
        level=logging.INFO if options.log else logging.CRITICAL,
        handlers=[_EventHandler()],
    )
    failed = 0
    for seed in range(options.seed, options.seed + options.count):
        result = scenario.run(seed, options.seconds)
        failed += bool(result.violations)
        print(result.text(), flush=True)
    return int(failed > 0)


if __name__ == '__main__':
    if os.environ.get('PYTHONHASHSEED') != '0':
        # Sets of strings have the same order each time, so that a seed repeats.
        os.environ['PYTHONHASHSEED'] = '0'
        os.execv(sys.executable, sys.orig_argv)
    sys.exit(main(sys.argv[1:]))
