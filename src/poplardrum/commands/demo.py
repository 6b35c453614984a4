"""Start a small system, run a job on it and check the outcome."""

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
# On the slowest worker, the longest task alone takes 4 times the ideal.
_MAX_RESPONSE_RATIO: typing.Final = 5.0

Check = tuple[str, str, bool]


class Submissions(typing.NamedTuple):
    """Attempts of the first and the repeated submission of one job.

    `response_s` is the response time of the first one and `ideal_s` its lower
    bound; `starts` has the number of starts by task.
    """

    first: list[client.Attempt]
    repeated: list[client.Attempt]
    response_s: float
    ideal_s: float
    starts: dict[str, int]


def run() -> int:
    """Run the demo and print its checks; return 0 if all of them pass."""
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
        submissions = submit_twice(system)
        print(jobs.as_text(_IDEMPOTENCY_KEY, submissions.first))
        print()
        print(status.as_text(system.status()))
        exit_codes = system.stop()
        error_lines = system.error_lines()
    checks = [
        *verify(submissions),
        _check('exit codes', exit_codes, not any(exit_codes)),
    ]
    checks.append(
        _check('error lines in logs', len(error_lines), not error_lines),
    )
    print()
    print(tables.format_table(('check', 'found', 'holds'), checks))
    return int(not all(passed for _, _, passed in checks))


def submit_twice(system: fleet.Fleet) -> Submissions:
    """Submit the job through one entry, then again through the other."""
    body = data.job()
    started = time.monotonic()
    first = jobs.run_submit(target(system.entry_addresses[0]), body)
    response_s = time.monotonic() - started
    repeated = jobs.run_submit(target(system.entry_addresses[1]), body)
    return Submissions(
        first,
        repeated,
        response_s,
        ideal_response_s(body),
        system.starts(),
    )


def target(entry: str) -> client.Target:
    """Return the target of a submission by the demo's tenant at an entry."""
    return client.Target(
        (entry,),
        _CREDENTIAL,
        ids.IdempotencyKey(_IDEMPOTENCY_KEY),
    )


def ideal_response_s(job_body: bytes) -> float:
    """Return a lower bound of the job's response time on the demo's workers.

    This is the larger of the total work divided among all slots and the time
    of the longest task on the fastest worker.
    """
    task_times = [
        json.loads(task['payload'])['seconds']
        for task in json.loads(job_body)['tasks']
    ]
    total_speed = sum(_WORKER_SPEEDS) * fleet.WorkerPlan().slots
    return float(
        max(
            sum(task_times) / total_speed,
            max(task_times) / max(_WORKER_SPEEDS),
        ),
    )


def verify(submissions: Submissions) -> list[Check]:
    """Check replies, response time and starts of the submissions."""
    first, repeated = submissions.first[-1].body, submissions.repeated[-1].body
    tasks = first.tasks if first else []
    task_count = len(json.loads(data.job())['tasks'])
    complete = sum(task.code == 'ok' for task in tasks)
    workers = {task.worker for task in tasks}
    max_starts = max(submissions.starts.values(), default=0)
    ratio = submissions.response_s / submissions.ideal_s
    timing = (
        f'{submissions.response_s:.3f} s of {submissions.ideal_s:.3f} s: '
        f'{ratio:.2f}'
    )
    return [
        _check('tasks complete', complete, complete == task_count),
        _check(
            'workers used',
            len(workers),
            len(workers) == len(_WORKER_SPEEDS),
        ),
        _check(
            'response time over ideal',
            timing,
            ratio <= _MAX_RESPONSE_RATIO,
        ),
        _check(
            'tasks started',
            len(submissions.starts),
            len(submissions.starts) == task_count,
        ),
        _check('starts per task', max_starts, max_starts == 1),
        _check('same answer through the other entry', '', first == repeated),
    ]


def _check(name: str, found: typing.Any, passed: bool) -> Check:
    return name, str(found), passed
