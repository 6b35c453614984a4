"""Crashes of an agent's endpoint, and the runs that may have caused them.

The loss of an endpoint may be a crash or a cut; which one shows only when it is
back, as a new incarnation or the same one. Entries hear of both: until they know,
they start the tasks in question only where they can do little harm. A task that
crashes its endpoint does so soon after its start.
"""

import collections
import dataclasses
import logging
import typing

from poplardrum import ids, log_events
from poplardrum.dispatch import endpoint_runs, messages, timing
from poplardrum.platform import endpoints

logger = logging.getLogger(__name__)

# Last notices, which are sent again to entries that link later.
_MAX_RECENT_NOTICES: typing.Final = 32

Publish = typing.Callable[[messages.CrashNotice], None]
Runs = typing.Collection[endpoint_runs.Run]


@dataclasses.dataclass
class _Suspicion:
    """A loss of the endpoint, and the tasks that ran there.

    `tasks` had started just before. The `bystanders` had run for longer, or it
    is not known whether they had started.
    """

    incarnation: int
    tasks: list[ids.TaskId]
    bystanders: list[ids.TaskId]
    is_published: bool = False


class CrashWatch:
    """Tell entries of losses of the endpoint, and whether they were crashes."""

    def __init__(self) -> None:
        """Start without a loss; `publish` sends a notice to all entries."""
        self.publish: Publish = _ignore_notice
        self.suspicion: _Suspicion | None = None
        self.recent_notices: collections.deque[messages.CrashNotice] = (
            collections.deque(maxlen=_MAX_RECENT_NOTICES)
        )

    def record_failure(
        self, incarnation: int, runs: Runs, last_contact_at: float
    ) -> None:
        """Record a request without a reply, the first one since a contact.

        The endpoint was certainly there at `last_contact_at`.
        """
        suspicion = self.suspicion
        if suspicion is None or suspicion.incarnation != incarnation:
            since = last_contact_at - timing.CRASH_WINDOW_S
            # The next incarnation may have accepted others already.
            sent = [
                run
                for run in runs
                if run.started_at and run.incarnation in {0, incarnation}
            ]
            recent = _prime_suspects(
                [run for run in sent if _has_started_since(run, since)]
            )
            self.suspicion = _Suspicion(
                incarnation,
                _tasks_of(recent),
                _tasks_of(run for run in sent if run not in recent),
            )

    def record_loss(self) -> None:
        """Record that the endpoint is lost: its runs end with their lease."""
        suspicion = self.suspicion
        if suspicion is not None and not suspicion.is_published:
            suspicion.is_published = True
            self._send(suspicion, messages.CrashState.suspected)

    def record_answer(self, incarnation: int) -> None:
        """Record a reply of an incarnation, which has not crashed."""
        suspicion, self.suspicion = self.suspicion, None
        if (
            suspicion is not None
            and suspicion.is_published
            and suspicion.incarnation == incarnation
        ):
            self._send(suspicion, messages.CrashState.refuted)

    def record_restart(
        self,
        ended: int,
        heartbeat: endpoints.Heartbeat | None,
        runs: Runs,
        last_contact_at: float,
    ) -> None:
        """Record that an incarnation has ended, whose last heartbeat is given.

        One that was draining has left as planned, and has not crashed.
        """
        self.record_failure(ended, runs, last_contact_at)
        suspicion, self.suspicion = self.suspicion, None
        if suspicion is None or suspicion.incarnation != ended:
            return
        has_left = heartbeat is None or heartbeat.state != endpoints.READY
        if not has_left:
            self._send(suspicion, messages.CrashState.confirmed)
        elif suspicion.is_published:
            self._send(suspicion, messages.CrashState.refuted)

    def _send(self, suspicion: _Suspicion, state: messages.CrashState) -> None:
        if not (suspicion.tasks or suspicion.bystanders):
            return
        notice = messages.CrashNotice(
            suspicion.incarnation,
            state,
            suspicion.tasks,
            suspicion.bystanders,
        )
        for earlier in list(self.recent_notices):
            if earlier.incarnation == notice.incarnation:
                self.recent_notices.remove(earlier)
        self.recent_notices.append(notice)
        self.publish(notice)
        log_events.emit(
            logger,
            f'endpoint crash {state.name}',
            level=logging.WARNING,
            born=suspicion.incarnation,
            tasks=[f'{task.job}.{task.position}' for task in suspicion.tasks],
        )


def _has_started_since(run: endpoint_runs.Run, since: float) -> bool:
    """Return whether a run is known to have started, not before a time."""
    return (
        run.state is endpoint_runs.RunState.running and run.started_at >= since
    )


def _prime_suspects(
    recent: list[endpoint_runs.Run],
) -> list[endpoint_runs.Run]:
    """Return the last isolated run alone, all runs if none is isolated.

    An agent that is busy notices a crash late, so that runs which started apart
    from each other may all seem recent.
    """
    isolated = [run for run in recent if run.is_isolated]
    if not isolated:
        return recent
    return [max(isolated, key=lambda run: run.started_at)]


def _tasks_of(runs: typing.Iterable[endpoint_runs.Run]) -> list[ids.TaskId]:
    return [ids.TaskId(run.job, run.id.task_index) for run in runs]


def _ignore_notice(notice: messages.CrashNotice) -> None:
    """Do nothing, while there are no entries."""
