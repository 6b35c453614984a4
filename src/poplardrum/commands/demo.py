"""Run a small system and a job through it, and check what came back."""

import contextlib
import json
import pathlib
import tempfile
import time
import typing

from poplardrum import ids
from poplardrum.callers import client
from poplardrum.commands import jobs, status, tables
from poplardrum.standins import data, fleet

_WORKER_SPEEDS: typing.Final = (0.5, 1.0, 2.0)
_CREDENTIAL: typing.Final = 'harbor-freight-demo'
_IDEMPOTENCY_KEY: typing.Final = 'demo-1'
# The longest task takes 4 times the ideal on the slowest worker.
_MAX_RESPONSE_RATIO: typing.Final = 5.0

Check = tuple[str, str, bool]


class Submissions(typing.NamedTuple):
    """Replies to the first and the repeated submission; seconds."""

    first: list[client.Attempt]
    repeated: list[client.Attempt]
    response_s: float
    ideal_s: float
    starts: dict[str, int]


def run() -> int:
    """Run the demo; return 0 only if every check holds."""
    with contextlib.ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        system = fleet.Fleet(
            fleet.Plan(
                tuple(
                    fleet.WorkerPlan(speed=speed) for speed in _WORKER_SPEEDS
                ),
            ),
            pathlib.Path(directory),
        )
        stack.callback(system.stop)
        print('starting: platform, 2 entries, 3 agents, 3 endpoints')
        system.start(data.rules())
        found = submit_twice(system)
        print(jobs.as_text(_IDEMPOTENCY_KEY, found.first))
        print()
        print(status.as_text(system.status()))
        codes = system.stop()
        logs = system.error_lines()
    checks = [*verify(found), _check('exit codes', codes, not any(codes))]
    checks.append(_check('error lines in logs', len(logs), not logs))
    print()
    print(tables.format_table(('check', 'found', 'holds'), checks))
    return int(not all(holds for _, _, holds in checks))


def submit_twice(system: fleet.Fleet) -> Submissions:
    """Submit the job through one entry and again through the other."""
    content = data.job()
    started = time.monotonic()
    first = jobs.run_submit(target(system.entry_addresses[0]), content)
    seconds = time.monotonic() - started
    again = jobs.run_submit(target(system.entry_addresses[1]), content)
    return Submissions(
        first, again, seconds, ideal_response_s(content), system.starts()
    )


def target(entry: str) -> client.Target:
    """Return the demo's caller at one entry."""
    return client.Target(
        (entry,), _CREDENTIAL, ids.IdempotencyKey(_IDEMPOTENCY_KEY)
    )


def ideal_response_s(content: bytes) -> float:
    """Return the least response time of the job on the demo's workers.

    It is the longer of the whole work spread over all slots and the longest
    task on the fastest worker.
    """
    times = [
        json.loads(task['payload'])['seconds']
        for task in json.loads(content)['tasks']
    ]
    power = sum(_WORKER_SPEEDS) * fleet.WorkerPlan().slots
    return float(max(sum(times) / power, max(times) / max(_WORKER_SPEEDS)))


def verify(found: Submissions) -> list[Check]:
    """Compare replies and starts with what the system promises."""
    body, repeated = found.first[-1].body, found.repeated[-1].body
    tasks = body.tasks if body else []
    expected = len(json.loads(data.job())['tasks'])
    complete = sum(task.code == 'ok' for task in tasks)
    workers = {task.worker for task in tasks}
    most = max(found.starts.values(), default=0)
    stretch = found.response_s / found.ideal_s
    timing = f'{found.response_s:.3f} s of {found.ideal_s:.3f} s: {stretch:.2f}'
    return [
        _check('tasks complete', complete, complete == expected),
        _check(
            'workers used', len(workers), len(workers) == len(_WORKER_SPEEDS)
        ),
        _check(
            'response time over ideal', timing, stretch <= _MAX_RESPONSE_RATIO
        ),
        _check(
            'tasks started', len(found.starts), len(found.starts) == expected
        ),
        _check('starts per task', most, most == 1),
        _check('same answer through the other entry', '', body == repeated),
    ]


def _check(name: str, found: typing.Any, holds: bool) -> Check:
    return name, str(found), holds
