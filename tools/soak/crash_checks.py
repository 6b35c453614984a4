"""Checks of tasks that crash endpoints, and of those that ran beside them."""

import collections
import typing

# Start of the ids of jobs whose tasks crash the endpoints that start them.
DEADLY_PREFIX: typing.Final = 'dead0000'
# After three crashes a task may be started twice more.
_MAX_DEADLY_STARTS: typing.Final = 5
_CRASHES_TO_GIVE_UP: typing.Final = 2


class CrashLedger:
    """Record of jobs that crash endpoints, and of crashes under tasks."""

    def __init__(self) -> None:
        """Start without jobs."""
        # Accepted jobs that crash endpoints, and others that were given up.
        self.deadly_jobs: set[str] = set()
        self.given_up_jobs: set[str] = set()
        self.starts: collections.Counter[str] = collections.Counter()
        self.crashes: collections.Counter[str] = collections.Counter()

    def exceeds_starts(self, task: str) -> bool:
        """Count a start; return whether a task has crashed too many endpoints."""
        if not task.startswith(DEADLY_PREFIX):
            return False
        self.starts[task] += 1
        return self.starts[task] > _MAX_DEADLY_STARTS

    def may_be_given_up(self, job: str) -> bool:
        """Return whether two endpoints have crashed under a task of a job."""
        return any(
            crashes >= _CRASHES_TO_GIVE_UP
            for task, crashes in self.crashes.items()
            if task.startswith(job)
        )
