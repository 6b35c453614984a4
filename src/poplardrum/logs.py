"""Log lines as text or as one JSON object a line."""

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
    """Write a record as a JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return one line."""
        line = {
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
            line['error'] = self.formatException(record.exc_info)
        return json.dumps(line)


def configure(config: settings.Logs) -> None:
    """Set level and form of the root logger; write to standard error."""
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
