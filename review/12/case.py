"""A stale owner's run goes on while the next owner runs the task."""

import asyncio
import json
import pathlib
import signal

from stand_ins_3 import case, deployment

SIDES = 11
JOBS = 6
WORK_MS = 14000
# The store turns one machine away, and takes its keys away.
OUTAGE_S = 9.0
# The machine stands still once meanwhile.
FREEZE_S = 0.75
# An entry stops its stored jobs this long after it last read its announcement.
OWNER_STOPS_AFTER_S = 4.5
ROUNDS = 5


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
        ],
    }
    status, _ = await site.call(0, 'POST', job, body)
    if status // 100 != 2:
        raise case.CannotRunError('a job was not accepted')
    return job


def _last_read(site: deployment.Deployment, name: str) -> float:
    """Return when a machine last had an answer to a read of its announcement."""
    return max(
        at
        for at, machine, _, path in site.store.calls
        if machine == name and path.startswith('/kv-range') and name in path
    )


async def _round(site: deployment.Deployment, trouble: bool) -> str | None:
    owner = site.entries[0]
    jobs = [await _submit(site) for _ in range(JOBS)]
    await asyncio.sleep(0.5)
    if trouble:
        site.store.turn_away(owner.name, 'reset', revoke=True)
        cut_at = site.case.now()
        stops_at = _last_read(site, owner.name) + OWNER_STOPS_AFTER_S
        await asyncio.sleep(stops_at - FREEZE_S / 2 - site.case.now())
        owner.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        owner.signal(signal.SIGCONT)
        await asyncio.sleep(cut_at + OUTAGE_S - site.case.now())
        site.store.serve_again(owner.name)
    await asyncio.sleep(4 if trouble else 16)
    overlaps = [found for job in jobs for found in site.case.overlaps(job)]
    for job in jobs:
        await site.call(1, 'DELETE', job)
    if not overlaps:
        return None
    first, second, shared = max(overlaps, key=lambda found: found[2])
    return (
        f'TWICE: {len(overlaps)} tasks ran twice at the same time; {first.task}: '
        f'run {first.number} at {first.worker} and run {second.number} at '
        f'{second.worker}, for {1000 * shared:.0f} ms'
    )


async def play(site: deployment.Deployment, trouble: bool) -> str | None:
    for _ in range(ROUNDS if trouble else 1):
        broken = await _round(site, trouble)
        if broken:
            return broken
        await asyncio.sleep(3)
    return None


case.main(pathlib.Path(__file__).parent, create, play)
