"""An entry is killed; while others take its jobs over, answers are lost."""

import asyncio
import os
import random
import signal
import time

import small_site

LOST_SHARE = 0.35
LOST_S = 4.5
FINISH_S = small_site.BOUNDS['finish_s']
# For looking into the cause only: 'kill' or 'lost' leaves the other one out.
ONLY = os.environ.get('ONLY', 'kill lost')


async def case(record, trouble):
    rng = random.Random(1)
    async with small_site.Site(record) as site:
        await site.wait_until_ready()
        jobs = [small_site.job_id(rng) for _ in range(12)]
        answers = await asyncio.gather(
            *(
                site.submit(
                    0, job, [small_site.step(2, 1000, 2500)],
                    small_site.specification(2500),
                )
                for job in jobs
            )
        )
        assert answers == [200] * len(jobs), answers
        await asyncio.sleep(1)
        if trouble and 'kill' in ONLY:
            site.entries[0].signal(signal.SIGKILL)
            await asyncio.sleep(0.5)
            site.entries[0].start(site.folder)
        await asyncio.sleep(3)
        if trouble and 'lost' in ONLY:
            record.add(f'store loses {LOST_SHARE} of the answers to writes')
            lost = random.Random(time.time_ns())

            def gate(request):
                is_write = request.path == '/kv-txn'
                return 'lost' if is_write and lost.random() < LOST_SHARE else ''

            for machine in (*site.entries, *site.agents):
                site.store.gates[machine.name] = gate
            await asyncio.sleep(LOST_S)
            site.store.gates.clear()
            record.add('store answers all')
        await asyncio.sleep(FINISH_S)
        # The traffic has ended FINISH_S ago: no job may stand still for 3 s.
        record.add('jobs are asked for')
        standing = await small_site.standing_jobs(site, jobs)
        return f'LOST: {len(standing)} jobs stand still' if standing else ''


small_site.main(case)
