"""Tasks of a cancelled job start long after the cancel was acknowledged."""

import asyncio
import json
import pathlib

from stand_ins_3 import case, deployment

SIDES = 11
JOBS = 3
# Steps that follow one another, of one short task each.
STEPS = 16
WORK_MS = 400
# One machine is partitioned from the store.
CUT_S = 5.5
# Bound of the site.
CANCEL_S = 3.0
ROUNDS = 6


def create() -> deployment.Deployment:
    return deployment.Deployment(3, SIDES)


async def _submit(site: deployment.Deployment) -> str:
    job = deployment.job_id()
    body = {
        'Specification': json.dumps({'work_ms': WORK_MS}),
        'Steps': [
            {
                'Count': 1,
                'Cpu': 1600,
                'RequestedMemoryMb': 64,
                'EstimatedMs': WORK_MS,
            }
            | ({'After': [number - 1]} if number else {})
            for number in range(STEPS)
        ],
    }
    status, _ = await site.call(0, 'POST', job, body)
    if status // 100 != 2:
        raise case.CannotRunError('a job was not accepted')
    return job


async def _round(site: deployment.Deployment, trouble: bool) -> str | None:
    owner = site.entries[0]
    jobs = [await _submit(site) for _ in range(JOBS)]
    await asyncio.sleep(0.2)
    cut_at = site.case.now()
    if trouble:
        site.store.cut(owner.name)
    acknowledged = {}
    for job in jobs:
        status, _ = await site.call(1, 'DELETE', job)
        if status not in {200, 410}:
            raise case.CannotRunError('a cancel was not acknowledged')
        acknowledged[job] = site.case.now()
    await asyncio.sleep(max(cut_at + CUT_S - site.case.now(), 0))
    if trouble:
        site.store.heal(owner.name)
    await asyncio.sleep(3)
    late = [
        (run, run.started_at - acknowledged[job])
        for job in jobs
        for run in site.case.runs
        if run.task.startswith(job)
        and run.started_at > acknowledged[job] + CANCEL_S
    ]
    if not late:
        return None
    run, after = max(late, key=lambda found: found[1])
    return (
        f'UNASKED: {len(late)} tasks of cancelled jobs were started later than '
        f'{CANCEL_S:g} s after the acknowledgement; {run.task} run {run.number} '
        f'at {run.worker} {after:.2f} s after it'
    )


async def play(site: deployment.Deployment, trouble: bool) -> str | None:
    for _ in range(ROUNDS if trouble else 2):
        broken = await _round(site, trouble)
        if broken:
            return broken
        await asyncio.sleep(1)
    return None


case.main(pathlib.Path(__file__).parent, create, play)
