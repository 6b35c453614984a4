"""Orders to an endpoint: starts and stops of runs, and their answers."""

import asyncio
import logging
import typing

from poplardrum import log_events
from poplardrum.dispatch import clocks, ends, lease, messages, tasks, timing
from poplardrum.platform import endpoints

logger = logging.getLogger(__name__)

_START_LIMIT: typing.Final = 0.2
STOP_LIMIT: typing.Final = 0.1
_START_ATTEMPTS: typing.Final = 3
_LIST_MARGIN: typing.Final = 0.03

Refused = tuple[messages.Refusal, str]


class Orders:
    """Give orders until they are answered or the run is settled."""

    def __init__(
        self,
        held: lease.Lease,
        stop_time: float,
        live: typing.Callable[[tasks.Task], bool],
        wake: typing.Callable[[], None],
    ) -> None:
        """Order under a lease.

        `live` tells whether a run is not settled, `wake` asks for a report.
        """
        self.lease = held
        self.stop_time = stop_time
        self.live = live
        self.wake = wake

    async def start(
        self,
        endpoint: endpoints.Endpoint,
        task: tasks.Task,
        specification: str,
    ) -> Refused | None:
        """Start a run; return why it did not start and never will."""
        for _ in range(_START_ATTEMPTS):
            now = clocks.now()
            until = self.lease.until(now)
            if until is None or task.stopping:
                break
            task.token = self.lease.token
            task.started_at = now
            reply = await endpoint.start(
                endpoints.Start(
                    task.name(),
                    task.run.run,
                    specification,
                    task.saved,
                ),
                until=until,
                token=task.token,
                limit=_START_LIMIT,
            )
            if not self.live(task):
                return None
            self.lease.observe(reply.clock, clocks.now())
            answer = reply.answer
            if answer is endpoints.Answer.fenced:
                self.lease.fenced(reply.clock)
            elif answer is not endpoints.Answer.expired:
                return self._started(task, answer)
        return messages.Refusal.endpoint, 'no start in time'

    async def stop(
        self,
        endpoint: endpoints.Endpoint,
        task: tasks.Task,
    ) -> None:
        """Stop a run; its end is certain when a report lists it."""
        began = clocks.now()
        while self.live(task):
            reply = await endpoint.stop(
                task.name(),
                task.run.run,
                token=self.lease.token,
                limit=STOP_LIMIT,
            )
            now = clocks.now()
            if not self.live(task):
                return
            if reply.answer is endpoints.Answer.accepted:
                task.listed_from = now + self.stop_time + _LIST_MARGIN
                self.wake()
                return
            if reply.answer is endpoints.Answer.fenced:
                self.lease.fenced(reply.clock)
            elif now - began > timing.STOP_BUDGET and not self.lease.suspended:
                self._suspend(task)
            await asyncio.sleep(_LIST_MARGIN)

    def give_up_ends(self, remembered: ends.Ends, now: float) -> bool:
        """Let the endpoint forget ends that were not noted for too long.

        Once its lease has run out they count as never noted, so that their
        tasks may start again. Return whether it has.
        """
        if not remembered.crowded():
            return False
        if not self.lease.suspended:
            self.lease.suspended = True
            self.wake()
            log_events.emit(
                logger,
                'lease suspended: ends not noted',
                level=logging.WARNING,
                held=len(remembered.held),
            )
        if not self.lease.lapsed(now):
            return False
        log_events.emit(
            logger,
            'ends given up',
            level=logging.WARNING,
            ends=remembered.give_up(),
        )
        return True

    def _started(
        self,
        task: tasks.Task,
        answer: endpoints.Answer,
    ) -> Refused | None:
        if answer is endpoints.Answer.accepted:
            task.state = tasks.State.running
            task.listed_from = clocks.now()
            return None
        if answer is not endpoints.Answer.unanswered:
            return tasks.REFUSALS[answer], answer.value
        # The order may still be carried out until a higher token is known
        # at the endpoint; the next report then decides.
        task.state = tasks.State.unanswered
        if task.token == self.lease.token:
            self.lease.raise_token()
        log_events.emit(
            logger,
            'start unanswered',
            job=task.job,
            level=logging.WARNING,
            task=task.run.index,
            token=task.token,
        )
        self.wake()
        return None

    def _suspend(self, task: tasks.Task) -> None:
        # The job may be sent again soon: without an answer only the end of
        # the lease makes sure that the task is gone.
        self.lease.suspended = True
        self.wake()
        log_events.emit(
            logger,
            'lease suspended: stop unanswered',
            job=task.job,
            level=logging.WARNING,
        )
