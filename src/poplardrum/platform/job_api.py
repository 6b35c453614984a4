"""Wire formats of the users' platform: routes, jobs and replies."""

import math
import string
import typing

import msgspec

from poplardrum import decoding, errors, ids

CONFIG_KEY: typing.Final = 'op/config'
# The header's name says deadline, but its value is a duration.
CLIENT_TIMEOUT_HEADER: typing.Final = 'Poplardrum-Deadline-Milliseconds'
RETRY_AFTER_HEADER: typing.Final = 'Retry-After'
_JOB_ID_HEX_DIGITS: typing.Final = 16
_MS_PER_S: typing.Final = 1000
_MAX_CLIENT_TIMEOUT_S: typing.Final = 86400.0
MAX_SPECIFICATION_BYTES: typing.Final = 4000
_MAX_TASKS_PER_JOB: typing.Final = 1024
# Each step has this key, and few texts of one may read the same. Bodies with far too
# many steps are refused before the time to decode them is spent.
_STEP_MARK: typing.Final = b'"Count"'
_MAX_STEP_MARKS: typing.Final = 4 * _MAX_TASKS_PER_JOB

ACCEPTED_BODY: typing.Final = b'{}'
COMPLETED_BODY: typing.Final = b'{"State":"completed"}'
FAILED_BODY: typing.Final = b'{"State":"failed"}'


class Route(msgspec.Struct, frozen=True):
    """One queue of the operator's configuration.

    The target latency of a job is its work times `stretch`, plus
    `base_latency_ms`. Jobs with `urgency` 0 go first.
    """

    name: str = msgspec.field(name='Name')
    host: str = msgspec.field(name='Host')
    prefix: str = msgspec.field(name='Prefix')
    service: str = msgspec.field(default='', name='Service')
    timeout_ms: float = msgspec.field(default=0, name='TimeoutMs')
    # Only a constant part of the target latency, despite the outer name.
    base_latency_ms: float = msgspec.field(default=0, name='TargetLatencyMs')
    urgency: int = msgspec.field(default=0, name='Priority')
    max_attempts: int = msgspec.field(default=1, name='MaxAttempts')
    stretch: float = msgspec.field(default=1, name='Stretch')
    advice: typing.Any = msgspec.field(default=None, name='Advice')


class Configuration(msgspec.Struct, frozen=True):
    """The operator's routes; a higher `number` replaces a lower one."""

    number: int = msgspec.field(name='Version')
    routes: list[Route] = msgspec.field(name='Routes')

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`."""
        matching = [
            route
            for route in self.routes
            if route.host == host and path.startswith(route.prefix)
        ]
        return max(matching, key=_prefix_length, default=None)


class Step(msgspec.Struct, frozen=True):
    """Tasks of one step and what each of them requires.

    `predecessors` are the indexes of steps that must complete first. At most
    `spread_limit` tasks run at one node, unless it is 0.
    """

    count: decoding.Amount = msgspec.field(name='Count')
    cpu_millicores: decoding.Amount = msgspec.field(default=0, name='Cpu')
    memory_mb: decoding.Amount = msgspec.field(
        default=0, name='RequestedMemoryMb'
    )
    gpus: decoding.Amount = msgspec.field(default=0, name='Gpus')
    estimate_ms: decoding.DurationMs = msgspec.field(
        default=0, name='EstimatedMs'
    )
    data_rack: str = msgspec.field(default='', name='DataRack')
    required_label: str = msgspec.field(default='', name='Requirements')
    spread_limit: decoding.Amount = msgspec.field(
        default=0, name='AntiAffinity'
    )
    predecessors: list[int] = msgspec.field(default_factory=list, name='After')
    is_gang: bool = msgspec.field(default=False, name='Gang')
    is_long_running: bool = msgspec.field(default=False, name='LongRunning')
    is_filler: bool = msgspec.field(default=False, name='Fills')


class Submission(msgspec.Struct, frozen=True):
    """Body of a request that submits a job."""

    specification: str = msgspec.field(name='Specification')
    steps: list[Step] = msgspec.field(name='Steps')
    best_effort: bool = msgspec.field(default=False, name='BestEffort')
    repetitions: decoding.Amount = msgspec.field(default=0, name='Repetitions')


def decode_configuration(content: bytes) -> Configuration | None:
    """Return the configuration, or `None` if it cannot be decoded."""
    try:
        return decoding.decode_json(content, Configuration)
    except ValueError:
        return None


def decode_submission(body: bytes) -> Submission:
    """Decode and validate a submission before anything of it starts.

    Raises `bad_request` if it is malformed, `too_large` or `too_many_tasks`
    beyond the limits, and `unsupported` for features of jobs that are not
    implemented.
    """
    if body.count(_STEP_MARK) > _MAX_STEP_MARKS:
        raise errors.refusal(errors.Code.too_many_tasks, 'too many steps')
    try:
        submission = decoding.decode_json(body, Submission)
    except ValueError as error:
        raise errors.refusal(errors.Code.bad_request, str(error)) from None
    _check_submission(submission)
    return submission


def _check_submission(submission: Submission) -> None:
    if len(submission.specification.encode()) > MAX_SPECIFICATION_BYTES:
        raise errors.refusal(errors.Code.too_large, 'Specification too long')
    tasks = sum(step.count for step in submission.steps)
    if tasks < 1:
        raise errors.refusal(errors.Code.bad_request, 'job without tasks')
    # Steps without tasks cost time and memory as well.
    if max(tasks, len(submission.steps)) > _MAX_TASKS_PER_JOB:
        raise errors.refusal(
            errors.Code.too_many_tasks, 'too many tasks or steps'
        )
    for index, step in enumerate(submission.steps):
        _check_step(index, step)
    for requested, name in (
        (submission.repetitions, 'repeated jobs'),
        (any(step.is_gang for step in submission.steps), 'gangs'),
        (
            any(step.is_long_running for step in submission.steps),
            'long-running tasks',
        ),
        (any(step.is_filler for step in submission.steps), 'filling tasks'),
    ):
        if requested:
            raise errors.refusal(
                errors.Code.unsupported,
                f'{name} are not served',
            )


def _check_step(index: int, step: Step) -> None:
    # A step may depend on earlier steps only, which rules out cycles.
    if step.predecessors and not (
        0 <= min(step.predecessors) and max(step.predecessors) < index
    ):
        raise errors.refusal(
            errors.Code.bad_request,
            f'Steps[{index}]: After out of range',
        )


def parse_job_id(route: Route, path: str) -> ids.JobId | None:
    """Return the job's id in `path`, or `None` if it is malformed."""
    text = path.removeprefix(route.prefix)
    if len(text) != _JOB_ID_HEX_DIGITS:
        return None
    if not set(text) <= set(string.hexdigits):
        return None
    return ids.JobId(text)


def encode_state(state: str) -> bytes:
    """Return the reply body with the state of a stored job."""
    return msgspec.json.encode({'State': state})


def encode_waiting_count(count: int) -> bytes:
    """Return the reply body with the number of waiting jobs of a queue."""
    return msgspec.json.encode({'Waiting': count})


def task_name(job: ids.JobId, step: int, index: int) -> str:
    """Return a task's name at the endpoint; `index` is within its step."""
    return f'{job}.0.{step}.{index}'


def read_client_timeout(
    headers: typing.Mapping[str, str], default: float
) -> float:
    """Return how long the client waits, in seconds.

    A header that is missing or is no positive finite number gives `default`;
    longer times than a day are cut.
    """
    try:
        timeout = float(headers[CLIENT_TIMEOUT_HEADER]) / _MS_PER_S
    except (KeyError, ValueError):
        return default
    if not math.isfinite(timeout) or timeout <= 0:
        return default
    return min(timeout, _MAX_CLIENT_TIMEOUT_S)


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
