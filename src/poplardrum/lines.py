"""Structured log lines on standard output, bounded and never blocking."""

import json
import logging
import os
import sys
import time
import typing

_PER_SECOND: typing.Final = 400.0
_BURST: typing.Final = 800.0


class LineHandler(logging.Handler):
    """Write one JSON object a line; drop lines beyond the rate.

    Output that is not read must not stop the process, so standard output
    is not blocking and a line that does not fit is dropped and counted.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to a descriptor."""
        super().__init__()
        self.descriptor = descriptor
        self.tokens = _BURST
        self.filled_at = time.monotonic()
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write or drop one line."""
        if record.levelno < logging.WARNING and not self._admit():
            self.dropped += 1
            return
        line = self._line(record)
        try:
            os.write(self.descriptor, line)
        except OSError:
            self.dropped += 1
            return
        self.dropped = 0

    def _admit(self) -> bool:
        now = time.monotonic()
        earned = (now - self.filled_at) * _PER_SECOND
        self.tokens = min(_BURST, self.tokens + earned)
        self.filled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def _line(self, record: logging.LogRecord) -> bytes:
        fields: dict[str, typing.Any] = {
            'time': round(record.created, 3),
            'level': record.levelname,
            'event': record.getMessage(),
        }
        job = getattr(record, 'job', None)
        if job is not None:
            fields['job'] = job
        fields.update(getattr(record, 'details', {}))
        if self.dropped:
            fields['lines_dropped'] = self.dropped
        if record.exc_info:
            formatter = logging.Formatter()
            fields['error'] = formatter.formatException(record.exc_info)
        return json.dumps(fields, default=str).encode() + b'\n'


def note(
    logger: logging.Logger,
    event: str,
    *,
    job: str | None = None,
    level: int = logging.INFO,
    **details: typing.Any,
) -> None:
    """Log one event with its job and the inputs that decided it."""
    logger.log(level, event, extra={'job': job, 'details': details})


def configure(level: int = logging.INFO) -> None:
    """Send all logs to standard output."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    root = logging.getLogger()
    root.handlers[:] = [LineHandler(descriptor)]
    root.setLevel(level)
