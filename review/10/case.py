"""Case 10: accepted jobs are missing from `Waiting` after their entry was killed."""

import asyncio
import pathlib
import sys

from stand_ins_2 import site

AGENTS = 8
CPU = 1600
FILLING_MS = 28_000
WAITING_JOBS = 10
KILL_AFTER_S = 0.1
DARK_S = 3.0
VISIBLE_S = 3.0 + 2.0
JUDGED_S = 15


async def case(record: site.Record, has_trouble: bool) -> bool:
    async with site.Site(record, agents=AGENTS) as system:
        await system.wait_until_ready()
        await asyncio.sleep(4)
        begun: set[str] = set()
        for worker in system.workers:
            worker.on_start = lambda _worker, task, _run: begun.add(task.partition('.')[0])
        # Large jobs at two of the entries take up all workers.
        body = site.body_of(FILLING_MS, site.step(8, CPU, FILLING_MS))
        filling = [site.new_job() for _ in range(10)]
        await asyncio.gather(
            *(system.call(1 + index % 2, 'POST', job, body) for index, job in enumerate(filling))
        )
        await asyncio.sleep(3)
        waiting = [site.new_job() for _ in range(WAITING_JOBS)]
        body = site.body_of(400, site.step(2, CPU, 400))
        answers = await asyncio.gather(
            *(system.call(0, 'POST', job, body) for job in waiting)
        )
        accepted_at = record.now()
        accepted = {
            job for job, (status, _) in zip(waiting, answers, strict=True) if status == 200
        }
        if len(accepted) < WAITING_JOBS:
            raise RuntimeError('jobs were not accepted')
        await asyncio.sleep(KILL_AFTER_S)
        if has_trouble:
            system.kill(system.entries[0])
        await asyncio.sleep(DARK_S)
        if has_trouble:
            system.start(system.entries[0])
        await asyncio.sleep(accepted_at + VISIBLE_S + 0.2 - record.now())
        wrong = 0
        while record.now() < accepted_at + JUDGED_S:
            for entry in (1, 2):
                unbegun = accepted - begun
                status, reply = await system.call(entry, 'GET', '')
                if status != 200:
                    continue
                is_wrong = reply['Waiting'] < len(accepted - begun) / 2
                wrong += is_wrong
                record.note(
                    'case', system.entries[entry].name, 'compares', waiting=reply['Waiting'],
                    not_begun=len(unbegun), wrong=is_wrong,
                )  # fmt: skip
            await asyncio.sleep(0.5)
        record.note('case', '-', 'sums up', wrong_answers=wrong)
        return wrong > 0


sys.exit(site.main(str(pathlib.Path(__file__).parent), case))
