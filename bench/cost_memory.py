"""Measure the peak memory of entries and agents after a burst of jobs."""

import concurrent.futures
import itertools
import pathlib
import tempfile
import typing

from bench import figures
from poplardrum.standins import data, fleet, http, processes

_JOB_COUNT: typing.Final = 40
_CREDENTIAL: typing.Final = 'harbor-freight-demo'
_MEMORY_BOUND_MB: typing.Final = 64


def peak_mb(process: processes.Process) -> float:
    """Return the peak resident set size of a process (VmHWM) in MB."""
    return figures.process_status_kb(process.handle.pid, 'VmHWM') / 1024


def submit_job(address: str, content: bytes) -> int:
    """Submit one job and return the HTTP status."""
    status, _ = http.call_bytes(
        'POST',
        f'http://{address}/v1/jobs',
        content,
        {'Authorization': f'Bearer {_CREDENTIAL}'},
    )
    return status


def main() -> list[figures.Figure]:
    """Start a system and measure it."""
    with tempfile.TemporaryDirectory() as folder:
        system = fleet.Fleet(
            fleet.Plan((fleet.WorkerPlan(speed=8),) * 3),
            pathlib.Path(folder),
        )
        try:
            system.start(data.rules())
            return measure(system)
        finally:
            system.stop()


def measure(system: fleet.Fleet) -> list[figures.Figure]:
    """Return the peaks of each role before and after a burst of jobs."""
    idle_peaks_mb = [peak_mb(system.entries[0]), peak_mb(system.agents[0])]
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        statuses = list(
            pool.map(
                submit_job,
                itertools.cycle(system.entry_addresses),
                itertools.repeat(data.job(), _JOB_COUNT),
            ),
        )
    entry_peak_mb = max(peak_mb(process) for process in system.entries)
    agent_peak_mb = max(peak_mb(process) for process in system.agents)
    completed = sum(status == 200 for status in statuses)
    return [
        figures.at_most(
            'memory.entry_idle_peak', idle_peaks_mb[0], 'MB', _MEMORY_BOUND_MB
        ),
        figures.at_most(
            'memory.agent_idle_peak', idle_peaks_mb[1], 'MB', _MEMORY_BOUND_MB
        ),
        figures.at_most(
            'memory.entry_burst_peak', entry_peak_mb, 'MB', _MEMORY_BOUND_MB
        ),
        figures.at_most(
            'memory.agent_burst_peak', agent_peak_mb, 'MB', _MEMORY_BOUND_MB
        ),
        figures.at_least('memory.jobs_complete', completed, 'jobs', _JOB_COUNT),
    ]


if __name__ == '__main__':
    figures.print_figures(main())
