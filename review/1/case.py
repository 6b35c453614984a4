"""The machine beside a worker stands still for 3.5 s as a few jobs come."""

import asyncio
import random
import signal

import small_site

FREEZE_S = 3.5
FINISH_S = small_site.BOUNDS['finish_s']
# Kind `b` is that of the first worker only.
KIND_B = {'Requirements': 'b'}


async def case(record, trouble):
    rng = random.Random(6)
    async with small_site.Site(record) as site:
        await site.wait_until_ready()
        jobs = [small_site.job_id(rng) for _ in range(6)]
        if trouble:
            site.agents[0].signal(signal.SIGSTOP)
        answers = await asyncio.gather(
            *(
                site.submit(
                    0, job, [small_site.step(1, 1000, 2000, **KIND_B)],
                    small_site.specification(2000),
                )
                for job in jobs
            ),
        )
        assert answers == [200] * len(jobs), answers
        if trouble:
            await asyncio.sleep(FREEZE_S)
            site.agents[0].signal(signal.SIGCONT)
        # The traffic has ended.
        await asyncio.sleep(FINISH_S)
        record.add('jobs are asked for')
        standing = await small_site.standing_jobs(site, jobs)
        return f'LOST: {len(standing)} jobs stand still' if standing else ''


small_site.main(case)
