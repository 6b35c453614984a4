"""Structured log events on standard output, rate-limited and non-blocking."""

import logging
import os
import sys
import time
import typing

import msgspec

_MAX_LINES_PER_S: typing.Final = 400.0
_MAX_BURST_LINES: typing.Final = 800.0


class JsonLineHandler(logging.Handler):
    """Write each record as a line of JSON, within a rate limit.

    Output that nobody reads must not block the process, so the descriptor is
    non-blocking and a line that does not fit is dropped. The number of
    dropped lines is reported with the next line that is written. Records of
    level WARNING and above are exempt from the rate limit.
    """

    def __init__(self, descriptor: int) -> None:
        """Start with a full token bucket; `descriptor` is written to."""
        super().__init__()
        self.descriptor = descriptor
        self.tokens = _MAX_BURST_LINES
        self.refilled_at = time.monotonic()
        self.dropped_lines = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop it and count it as dropped."""
        if record.levelno < logging.WARNING and not self._take_token():
            self.dropped_lines += 1
            return
        line = self._format_line(record)
        try:
            os.write(self.descriptor, line)
        except OSError:
            self.dropped_lines += 1
            return
        self.dropped_lines = 0

    def _take_token(self) -> bool:
        now = time.monotonic()
        refill = (now - self.refilled_at) * _MAX_LINES_PER_S
        self.tokens = min(_MAX_BURST_LINES, self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def _format_line(self, record: logging.LogRecord) -> bytes:
        fields: dict[str, typing.Any] = {
            'time': round(record.created, 3),
            'level': record.levelname,
            'event': record.getMessage(),
        }
        job = getattr(record, 'job', None)
        if job is not None:
            fields['job'] = job
        fields.update(getattr(record, 'details', {}))
        if self.dropped_lines:
            fields['lines_dropped'] = self.dropped_lines
        if record.exc_info:
            formatter = logging.Formatter()
            fields['error'] = formatter.formatException(record.exc_info)
        return msgspec.json.encode(fields, enc_hook=str) + b'\n'


def emit(
    logger: logging.Logger,
    event: str,
    *,
    job: str | None = None,
    level: int = logging.INFO,
    **details: typing.Any,
) -> None:
    """Log an event; `details` become fields of its JSON object."""
    logger.log(level, event, extra={'job': job, 'details': details})


def configure(level: int = logging.INFO) -> None:
    """Log to standard output, which is set to non-blocking."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    root = logging.getLogger()
    root.handlers[:] = [JsonLineHandler(descriptor)]
    root.setLevel(level)
