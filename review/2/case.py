"""The store is down for 4.5 s; a task fails once while the workers are full."""

import asyncio
import random

import small_site

DOWN_S = 4.5
ATTEMPTS = 3


async def case(record, trouble):
    rng = random.Random(2)
    async with small_site.Site(record, attempts=ATTEMPTS) as site:
        await site.wait_until_ready()
        # Three jobs of one task each, which ends `failed` once, by its own
        # fault, and succeeds when it is started again.
        jobs = [small_site.job_id(rng) for _ in range(3)]
        answers = await asyncio.gather(
            *(
                site.submit(
                    0, job, [small_site.step(1, 4000, 1500)],
                    small_site.specification(1000, {'0.0.0': 1}),
                )
                for job in jobs
            )
        )
        # A large job that fills the 12 places of the workers for seconds.
        large = small_site.job_id(rng)
        answers.append(
            await site.submit(
                0, large, [small_site.step(64, 4000, 600)],
                small_site.specification(600),
            )
        )
        assert answers == [200] * 4, answers
        await asyncio.sleep(0.3)
        if trouble:
            record.add('store is down: silent')
            for machine in (*site.entries, *site.agents):
                site.store.gates[machine.name] = lambda request: 'silent'
            await asyncio.sleep(DOWN_S)
            site.store.gates.clear()
            record.add('store answers again')
        await asyncio.sleep(16)
        broken = []
        for job in (*jobs, large):
            state = await site.state(1, job)
            failed = {}
            for run in site.runs(job):
                if run['how'] == 'failed':
                    failed[run['task']] = failed.get(run['task'], 0) + 1
            most = max(failed.values(), default=0)
            record.add('state', job, state, 'most failed runs of a task', most)
            if state == 'failed' and most < ATTEMPTS:
                broken.append(job)
                record.add(
                    'LOST:', job, 'is shown as failed after', most, 'of',
                    ATTEMPTS, 'failed runs',
                )
        return f'LOST: {len(broken)} jobs failed without cause' if broken else ''


small_site.main(case)
