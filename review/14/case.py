"""Tasks run twice after the machine of their worker was suspended."""

import asyncio
import json
import pathlib
import signal

from stand_ins_3 import case, deployment

SIDES = 11
JOBS = 22
TASKS = 2
WORK_MS = 5000
# One machine is suspended: its agent and its worker with its steady clock.
SUSPENDED_S = 3.5
ROUNDS = 5


def create() -> deployment.Deployment:
    return deployment.Deployment(3, SIDES)


async def _submit(site: deployment.Deployment, entry: int) -> str:
    job = deployment.job_id()
    body = {
        'Specification': json.dumps({'work_ms': WORK_MS}),
        'Steps': [
            {
                'Count': TASKS,
                'Cpu': 1600,
                'RequestedMemoryMb': 64,
                'EstimatedMs': WORK_MS,
            }
        ],
    }
    status, _ = await site.call(entry, 'POST', job, body)
    if status // 100 != 2:
        raise case.CannotRunError('a job was not accepted')
    return job


async def _round(site: deployment.Deployment, trouble: bool) -> str | None:
    jobs = [await _submit(site, number % 3) for number in range(JOBS)]
    await asyncio.sleep(0.5)
    busy = {
        run.worker
        for run in site.case.runs
        if run.ended_at is None and run.task.split('.')[0] in jobs
    }
    place = next(n for n, each in enumerate(site.workers) if each.name in busy)
    back_at = site.case.now()
    if trouble:
        site.sides[place].signal(signal.SIGSTOP)
        await site.workers[place].suspend(SUSPENDED_S)
        site.sides[place].signal(signal.SIGCONT)
        back_at = site.case.now()
    await asyncio.sleep(8)
    overlaps = []
    for job in jobs:
        for first, second, _ in site.case.overlaps(job):
            # Only what both run once the machine is back.
            ends = [run.ended_at or site.case.now() for run in (first, second)]
            shared = min(ends) - max(
                first.started_at, second.started_at, back_at
            )
            if shared > 0:
                overlaps.append((first, second, shared))
    if not overlaps:
        return None
    first, second, shared = max(overlaps, key=lambda found: found[2])
    return (
        f'TWICE: {len(overlaps)} tasks ran twice at the same time; {first.task}: '
        f'run {first.number} at {first.worker} and run {second.number} at '
        f'{second.worker}, for {1000 * shared:.0f} ms after the machine was back'
    )


async def play(site: deployment.Deployment, trouble: bool) -> str | None:
    for _ in range(ROUNDS if trouble else 1):
        broken = await _round(site, trouble)
        if broken:
            return broken
    return None


case.main(pathlib.Path(__file__).parent, create, play)
