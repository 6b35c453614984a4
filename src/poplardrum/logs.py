"""Logging to standard error as text or as JSON, one object a line."""

import contextvars
import json
import logging
import time

from poplardrum import settings

job_id: contextvars.ContextVar[str] = contextvars.ContextVar(
    'job_id',
    default='-',
)


class JobIdFilter(logging.Filter):
    """Add the job id of the current task to each record."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Set `record.job` unless the caller gave one."""
        if not hasattr(record, 'job'):
            record.job = job_id.get()
        return True


class JsonFormatter(logging.Formatter):
    """Format a record as a JSON object on one line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the JSON text of a record."""
        fields = {
            'time': time.strftime(
                '%Y-%m-%dT%H:%M:%S',
                time.gmtime(record.created),
            ),
            'level': record.levelname,
            'logger': record.name,
            'job': getattr(record, 'job', '-'),
            'message': record.getMessage(),
        }
        if record.exc_info:
            fields['error'] = self.formatException(record.exc_info)
        return json.dumps(fields)


def configure(config: settings.Logs) -> None:
    """Set up the root logger by the settings; log to standard error."""
    handler = logging.StreamHandler()
    handler.addFilter(JobIdFilter())
    if config.form == 'json':
        handler.setFormatter(JsonFormatter())
    else:
        handler.setFormatter(
            logging.Formatter(
                '%(asctime)s %(levelname)s %(name)s job=%(job)s %(message)s',
            ),
        )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(config.level.upper())
