"""Fuzz: `python -m tools.fuzz --seconds 300`.

Takes turns: the tests of hypothesis with random examples, and simulated
scenarios with fresh seeds. A failure prints what repeats it.
"""

import argparse
import os
import random
import subprocess
import sys
import time
import typing

from tests import profiles

_MODULES: typing.Final = (
    'tests.test_malformed_input',
    'tests.test_submission_machine',
    'tests.test_execution_model',
)
_FACTOR: typing.Final = 5
_SCENARIOS: typing.Final = 10
_MAX_SEED: typing.Final = 2**31
_MAX_OUTPUT_LINES: typing.Final = 80


def run_command(arguments: typing.Sequence[str]) -> bool:
    """Run a Python module; print its output and return `False` if it failed."""
    completed = subprocess.run(
        [sys.executable, '-m', *arguments],
        env={**os.environ, profiles.FACTOR_VARIABLE: str(_FACTOR)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    print('ok' if not completed.returncode else 'FAILED', *arguments)
    if completed.returncode:
        lines = completed.stdout.splitlines()[-_MAX_OUTPUT_LINES:]
        print('\n'.join(lines), flush=True)
    return not completed.returncode


def main(arguments: typing.Sequence[str]) -> int:
    """Fuzz until the time is over; return 1 if anything failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=300.0)
    options = parser.parse_args(arguments)
    stop_at = time.monotonic() + options.seconds
    failures = 0
    while time.monotonic() < stop_at:
        commands: list[tuple[str, ...]] = [
            ('unittest', module) for module in _MODULES
        ]
        seed = random.randrange(_MAX_SEED)
        commands.append(
            (
                'tools.simulation',
                f'--seed={seed}',
                f'--count={_SCENARIOS}',
            )
        )
        failures += sum(not run_command(command) for command in commands)
    print(f'{failures} failed')
    return int(failures > 0)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
