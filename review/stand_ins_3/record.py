"""The record of a case: what was sent, answered and run, with times."""

import dataclasses
import pathlib
import time


@dataclasses.dataclass
class TaskRun:
    """One run of a task as its worker saw it; times are seconds of the case."""

    worker: str
    life: int
    task: str
    number: int
    started_at: float
    ended_at: float | None = None
    how: str = ''


class Record:
    """Collects lines and runs; `save` writes them to a file."""

    def __init__(self) -> None:
        """Start the clock of the case."""
        self.origin = time.monotonic()
        self.lines: list[str] = []
        self.runs: list[TaskRun] = []
        self.is_closed = False

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.origin

    def add(self, who: str, what: str) -> None:
        """Add one line, unless the case has been judged."""
        if not self.is_closed:
            self.lines.append(f'{self.now():9.3f} {who:<16} {what}')

    def save(self, path: pathlib.Path) -> None:
        """Write all lines."""
        path.write_text('\n'.join(self.lines) + '\n')

    def overlaps(
        self, job: str, slack_s: float = 0.0
    ) -> list[tuple[TaskRun, TaskRun, float]]:
        """Return pairs of runs of one task that ran at the same time.

        Each comes with the seconds that they shared.
        """
        now = self.now()
        found = []
        runs = [run for run in self.runs if run.task.startswith(job)]
        for index, first in enumerate(runs):
            for second in runs[index + 1 :]:
                if first.task != second.task:
                    continue
                first_end = now if first.ended_at is None else first.ended_at
                second_end = now if second.ended_at is None else second.ended_at
                shared = min(first_end, second_end) - max(
                    first.started_at, second.started_at
                )
                if shared > slack_s:
                    found.append((first, second, shared))
        return found
