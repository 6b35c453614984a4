"""Tasks that may have crashed endpoints, as an entry knows them.

A task is suspected once it had started just before an endpoint was lost. It starts
again apart from others (`JobPlacer`), so that a second crash shows the guilty one,
whose job is then given up. Losses that turn out to be no crashes do not count.

Agents tell all entries, so an entry also knows tasks of jobs that another entry
ran before their callers submitted them again.
"""

import collections
import dataclasses
import math
import typing

from poplardrum import ids
from poplardrum.dispatch import messages

# A task under which this many endpoints have crashed is not started again.
MAX_CRASHES: typing.Final = 2
# The same if it had not just started, so that it is the less likely cause. A task
# that crashes endpoints late is found that way.
_MAX_NEARBY_CRASHES: typing.Final = 4
# Jobs that are remembered; the oldest are forgotten first.
MAX_JOBS: typing.Final = 4096
# Time for which a suspected task waits for an endpoint without other starts, before
# one has to hold others back.
_MAX_QUIET_WAIT_S: typing.Final = 4.0
# An endpoint that is not back after this long may have been lost otherwise, and its
# loss no longer keeps a task from starting.
_OPEN_S: typing.Final = 8.0


@dataclasses.dataclass
class _Suspicion:
    """Losses of endpoints by their id: crashes, and those not yet explained.

    At `nearby_crashes` the task had run for a while. `open_losses` has the time
    until which each one counts, `suspected_at` is the time of the last loss.
    """

    suspected_at: float = -math.inf
    crashes: set[ids.CrashId] = dataclasses.field(default_factory=set)
    nearby_crashes: set[ids.CrashId] = dataclasses.field(default_factory=set)
    open_losses: dict[ids.CrashId, float] = dataclasses.field(
        default_factory=dict
    )

    def apply(
        self, loss: ids.CrashId, state: messages.CrashState, now: float
    ) -> bool:
        """Apply what is known of a loss; return whether it is a new crash."""
        self.open_losses.pop(loss, None)
        if loss in self.crashes:
            return False
        if state is messages.CrashState.suspected:
            self.open_losses[loss] = now + _OPEN_S
            self.suspected_at = now
        if state is messages.CrashState.confirmed:
            self.crashes.add(loss)
        return state is messages.CrashState.confirmed

    def is_empty(self) -> bool:
        """Return whether there is nothing to remember."""
        return not (self.crashes or self.nearby_crashes or self.open_losses)

    def open_count(self, now: float) -> int:
        """Return the number of losses that may turn out to be crashes."""
        return sum(until > now for until in self.open_losses.values())


_Suspicions = dict[int, _Suspicion]
_NO_SUSPICIONS: typing.Final[_Suspicions] = {}


class CrashSuspects:
    """Suspected tasks of all jobs; times are those of the event loop."""

    def __init__(self) -> None:
        """Suspect no task."""
        # By the job, then by the index of the task.
        self.by_job: collections.OrderedDict[ids.JobId, _Suspicions] = (
            collections.OrderedDict()
        )

    def apply(
        self, node: str, notice: messages.CrashNotice, now: float
    ) -> tuple[ids.CrashId, list[ids.TaskId]]:
        """Apply a notice of an agent; return the id of the loss and its tasks.

        The tasks are those for which it is a new crash.
        """
        loss = ids.crash_id(node, notice.incarnation)
        crashed = []
        for task in notice.tasks:
            suspicion = self._suspicion(task)
            if suspicion.apply(loss, notice.state, now):
                crashed.append(task)
            if suspicion.is_empty():
                self._forget(task)
        if notice.state is messages.CrashState.confirmed:
            for task in notice.bystanders:
                self._suspicion(task).nearby_crashes.add(loss)
        return loss, crashed

    def restore(
        self, job: ids.JobId, crashes: typing.Mapping[int, list[ids.CrashId]]
    ) -> None:
        """Add the crashes that the record of a stored job has, by task."""
        for index, losses in crashes.items():
            suspicion = self._suspicion(ids.TaskId(job, index))
            suspicion.crashes.update(losses)

    def is_suspected(self, task: ids.TaskId, now: float) -> bool:
        """Return whether a task may have crashed an endpoint."""
        suspicion = self._find(task)
        return suspicion is not None and bool(
            suspicion.crashes or suspicion.open_count(now)
        )

    def isolation(self, task: ids.TaskId, now: float) -> messages.Isolation:
        """Return how a suspected task starts: by force after a while."""
        suspicion = self._find(task)
        if suspicion is None:
            return messages.Isolation.none
        if now - suspicion.suspected_at < _MAX_QUIET_WAIT_S:
            return messages.Isolation.when_quiet
        return messages.Isolation.by_force

    def may_start(self, task: ids.TaskId, now: float) -> bool:
        """Return whether another start of a task is within its limit.

        It has to wait while losses that are not explained yet could be too
        many crashes.
        """
        suspicion = self._find(task)
        if suspicion is None:
            return True
        losses = len(suspicion.crashes) + suspicion.open_count(now)
        return losses < MAX_CRASHES

    def is_guilty(self, task: ids.TaskId) -> bool:
        """Return whether too many endpoints have crashed under a task."""
        suspicion = self._find(task)
        return suspicion is not None and (
            len(suspicion.crashes) >= MAX_CRASHES
            or len(suspicion.crashes | suspicion.nearby_crashes)
            >= _MAX_NEARBY_CRASHES
        )

    def crashes(self, task: ids.TaskId) -> list[ids.CrashId]:
        """Return the crashes under a task, sorted by the names of the nodes."""
        suspicion = self._find(task) or _Suspicion()
        return sorted(suspicion.crashes | suspicion.nearby_crashes)

    def guilty_task(self, job: ids.JobId) -> int | None:
        """Return the index of a guilty task of a job, `None` without one."""
        for index in self.by_job.get(job, _NO_SUSPICIONS):
            if self.is_guilty(ids.TaskId(job, index)):
                return index
        return None

    def next_expiry(self, task: ids.TaskId, now: float) -> float:
        """Return when an open loss of a task stops counting, `inf` without one."""
        suspicion = self._find(task)
        return min(
            (
                until
                for until in (
                    suspicion.open_losses if suspicion else {}
                ).values()
                if until > now
            ),
            default=math.inf,
        )

    def _find(self, task: ids.TaskId) -> _Suspicion | None:
        return self.by_job.get(task.job, _NO_SUSPICIONS).get(task.position)

    def _suspicion(self, task: ids.TaskId) -> _Suspicion:
        suspicions = self.by_job.setdefault(task.job, {})
        self.by_job.move_to_end(task.job)
        while len(self.by_job) > MAX_JOBS:
            self.by_job.popitem(last=False)
        return suspicions.setdefault(task.position, _Suspicion())

    def _forget(self, task: ids.TaskId) -> None:
        suspicions = self.by_job[task.job]
        suspicions.pop(task.position)
        if not suspicions:
            self.by_job.pop(task.job)
