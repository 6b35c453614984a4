"""Case 6: a task starts again after a run of it has ended `done` and is taken note of."""

import asyncio
import pathlib
import sys

from stand_ins_2 import proxies, site

AGENTS = 6
CPU = 1600
TASK_MS = 400
OTHER_MS = 20_000
CUT_AFTER_S = 0.1
CUT_S = 5.5


async def case(record: site.Record, has_trouble: bool) -> bool:
    system = site.Site(record, agents=AGENTS)
    cut = False
    owner = system.entries[0]
    zone = owner.settings['Zone']
    far = [
        agent.name.encode() for agent in system.agents if agent.settings['Zone'] != zone
    ]

    def is_cut_link(first: bytes) -> bool:
        return cut and any(name in first for name in far)

    # All links to the entry, and its calls to the store, go through proxies. The
    # project's own store announces entries at other addresses for that.
    ip = owner.settings['IpAddress']
    proxy_ip = ip.rpartition('.')[0] + '.200'
    link_proxy = proxies.Proxy(
        (proxy_ip, system.internal_port), (ip, system.internal_port), is_cut_link
    )
    store_proxy = proxies.Proxy(
        (proxy_ip, system.store_port),
        (system.store_ip, system.store_port),
        lambda _: cut,
    )
    owner.settings['platform'] = owner.settings['platform'] | {
        'Address': f'{proxy_ip}:{system.store_port}'
    }
    for agent in system.agents:
        agent.settings['SeedNodes'] = [
            seed.replace(f'{ip}:', f'{proxy_ip}:') for seed in agent.settings['SeedNodes']
        ]
    system.store.rewrite = (
        lambda key, text: text.replace(f'"{ip}"', f'"{proxy_ip}"')
        if key.startswith('poplardrum/entries/')
        else text
    )
    servers = [await link_proxy.serve(), await store_proxy.serve()]
    starts: dict[str, list[tuple[float, int]]] = {}
    done: dict[str, list[tuple[float, int, str]]] = {}
    async with system:
        await system.wait_until_ready()
        await asyncio.sleep(4)
        for worker in system.workers:
            worker.on_start = lambda _w, task, run: starts.setdefault(task, []).append(
                (record.now(), run)
            )
            worker.on_end = lambda w, task, run, how: how == 'done' and done.setdefault(
                task, []
            ).append((record.now(), run, w.id))
        # The other entries keep all workers at work, so that no lease lapses.
        body = site.body_of(OTHER_MS, site.step(AGENTS, CPU, OTHER_MS, AntiAffinity=1))
        for entry in (1, 2):
            await system.call(entry, 'POST', site.new_job(), body)
        await asyncio.sleep(1)
        job = site.new_job()
        body = site.body_of(TASK_MS, site.step(2 * AGENTS, CPU, TASK_MS, AntiAffinity=2))
        status, _ = await system.call(0, 'POST', job, body)
        if status != 200:
            raise RuntimeError('the job was not accepted')
        await asyncio.sleep(CUT_AFTER_S)
        if has_trouble:
            record.note('machine', owner.name, 'is cut off', far=[name.decode() for name in far])
            cut = True
        await asyncio.sleep(CUT_S)
        if cut:
            record.note('machine', owner.name, 'is back')
        cut = False
        await asyncio.sleep(10)
        state = (await system.call(0, 'GET', job))[1]
        unnoted = [end for worker in system.workers for end in worker.ends]
    again = []
    for task, ends in done.items():
        for ended_at, run, worker_id in ends:
            later = [start for start in starts[task] if start[0] > ended_at]
            is_noted = not any(end[1] == task and end[2] == run for end in unnoted)
            if later and is_noted:
                again.append(task)
                record.note(
                    'case', worker_id, 'ended, noted and started again', task=task, run=run,
                    ended_at=round(ended_at, 3), starts=later,
                )  # fmt: skip
    record.note('case', '-', 'sums up', state=state, started_again=sorted(set(again)))
    for server in servers:
        server.close()
    return bool(again)


sys.exit(site.main(str(pathlib.Path(__file__).parent), case))
