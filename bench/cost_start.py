"""Measure the CPU time to import each role, relative to bare `asyncio`."""

import os
import statistics
import subprocess
import sys
import typing

from bench import figures

_RUNS: typing.Final = 9
# Processes are of use only after their imports, also those that all start at
# once after a loss of power, some on half a core.
_RATIO_BOUND: typing.Final = 2.2
_BASELINE: typing.Final = 'asyncio'
_ROLES: typing.Final = {'entry': 'entry', 'agent': 'agent_process'}
_PREPARATION: typing.Final = (
    'from poplardrum.dispatch import start; start.prepare_imports(); '
)
_READING: typing.Final = (
    '; import resource; usage = resource.getrusage(resource.RUSAGE_SELF)'
    '; print(usage.ru_utime + usage.ru_stime)'
)


def cpu_seconds(code: str) -> float:
    """Return the CPU time of a process that runs some code.

    Raise `subprocess.CalledProcessError` if it fails.
    """
    completed = subprocess.run(
        [sys.executable, '-S', '-c', code + _READING],
        env={**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)},
        stdout=subprocess.PIPE,
        text=True,
        check=True,
    )
    return float(completed.stdout)


def main() -> list[figures.Figure]:
    """Measure both roles in turn with the baseline, and return the medians."""
    programs = {
        _BASELINE: f'import {_BASELINE}',
        **{
            role: f'{_PREPARATION}from poplardrum.dispatch import {module}'
            for role, module in _ROLES.items()
        },
    }
    measured: dict[str, list[float]] = {name: [] for name in programs}
    for _ in range(_RUNS):
        for name, program in programs.items():
            measured[name].append(cpu_seconds(program))
    baseline = statistics.median(measured[_BASELINE])
    return [
        figures.at_most(
            f'start.{role}_import_cpu',
            statistics.median(measured[role]) / baseline,
            'x_asyncio',
            _RATIO_BOUND,
        )
        for role in _ROLES
    ]


if __name__ == '__main__':
    figures.print_figures(main())
