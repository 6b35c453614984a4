"""An entry stands still for 2.5 s while tasks of its stored jobs end."""

import asyncio
import random
import signal

import small_site

FREEZE_S = 2.5


async def case(record, trouble):
    rng = random.Random(3)
    async with small_site.Site(record) as site:
        await site.wait_until_ready()
        # Work of the other entries keeps every worker at work throughout.
        others = [small_site.job_id(rng) for _ in range(2)]
        for entry, job in enumerate(others, start=1):
            status = await site.submit(
                entry, job,
                [small_site.step(3, 1000, 9000, AntiAffinity=1)],
                small_site.specification(9000),
            )
            assert status == 200, status
        await asyncio.sleep(1)
        # Work of the first entry: tasks of 0.5 to 1.2 s.
        mine = [small_site.job_id(rng) for _ in range(15)]
        answers = await asyncio.gather(
            *(
                site.submit(
                    0, job, [small_site.step(2, 1000, 800)],
                    small_site.specification(500 + 50 * index),
                )
                for index, job in enumerate(mine)
            )
        )
        assert answers == [200] * len(mine), answers
        if trouble:
            site.entries[0].signal(signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            site.entries[0].signal(signal.SIGCONT)
        await asyncio.sleep(12)
        states = [await site.state(1, job) for job in (*mine, *others)]
        record.add('states', *states)
        broken = small_site.starts_after_done(site.runs())
        for done, later in broken:
            record.add(
                'TWICE:', done['task'], 'run', done['run'], 'ended done at',
                f'{done["end"] - record.start:.3f}', 'on', done['worker'].name,
                '(taken note of at', f'{done["noted"] - record.start:.3f},',
                'no lapse between), run', later['run'], 'started at',
                f'{later["start"] - record.start:.3f}', 'on',
                later['worker'].name,
            )
        return f'TWICE: {len(broken)} tasks started again' if broken else ''


small_site.main(case)
