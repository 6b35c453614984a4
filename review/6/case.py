"""Case 6: a job is shown as failed, though no run of it has ended `failed`."""

import asyncio
import pathlib
import sys

from stand_ins_2 import site

AGENTS = 8
JOBS = 10
TASKS = 8
CPU = 1600
TASK_MS = 14_000
CRASHES = 4
DOWN_S = 1.0
UP_S = 2.0


async def case(record: site.Record, has_trouble: bool) -> bool:
    async with site.Site(record, agents=AGENTS) as system:
        await system.wait_until_ready()
        await asyncio.sleep(4)
        ends: list[str] = []
        for worker in system.workers:
            worker.on_end = lambda _worker, _task, _run, how: ends.append(how)
        # Large jobs come at once: together they take up all workers.
        jobs = [site.new_job() for _ in range(JOBS)]
        answers = await asyncio.gather(
            *(
                system.call(
                    index % 3,
                    'POST',
                    job,
                    site.body_of(TASK_MS, site.step(TASKS, CPU, TASK_MS)),
                )
                for index, job in enumerate(jobs)
            )
        )
        accepted = [job for job, (status, _) in zip(jobs, answers, strict=True) if status == 200]
        if len(accepted) < JOBS:
            raise RuntimeError('jobs were not accepted')
        await asyncio.sleep(UP_S)
        if has_trouble:
            worker = system.workers[0]
            for _ in range(CRASHES):
                await worker.crash()
                await asyncio.sleep(DOWN_S)
                await worker.start()
                await asyncio.sleep(UP_S)
        states: dict[str, str] = {}
        deadline = record.now() + 60
        while len(states) < JOBS and record.now() < deadline:
            for index, job in enumerate(accepted):
                if job not in states:
                    status, reply = await system.call(index % 3, 'GET', job)
                    if status == 200 and reply['State'] in {'completed', 'failed', 'cancelled'}:
                        states[job] = reply['State']
            await asyncio.sleep(1)
        failed = [job for job, state in states.items() if state == 'failed']
        record.note(
            'case', '-', 'sums up', jobs=JOBS, over=len(states), failed=failed,
            ends_failed=ends.count('failed'),
        )  # fmt: skip
        if 'failed' in ends or (not failed and len(states) < JOBS):
            raise RuntimeError('the case does not show what it is meant for')
        return bool(failed)


sys.exit(site.main(str(pathlib.Path(__file__).parent), case))
