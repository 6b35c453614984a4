"""Error codes and headers of replies, and an entry without configuration."""

import json
import pathlib
import socket
import tempfile
import typing
import unittest

from poplardrum import errors
from poplardrum.callers import replies, statuses
from poplardrum.standins import fleet, http

# Retry time in seconds, `Retry-After` header, `retry_after_ms` of the body.
WAITS: typing.Final[tuple[tuple[float, str, int], ...]] = (
    (0, '1', 0),
    (0.2, '1', 200),
    (1, '1', 1000),
    (1.0004, '2', 1001),
    (90, '90', 90000),
)
# Codes of jobs that have failed, as opposed to refused requests.
FAILED: typing.Final = {
    'indeterminate',
    'link_lost',
    'endpoint_failed',
    'task_failed',
    'cancelled',
}


class RepliesTest(unittest.TestCase):
    """Guards against wrong statuses and retry times in replies."""

    def test_retry_after(self) -> None:
        """Guards against a retry time that is rounded down."""
        for seconds, header, milliseconds in WAITS:
            with self.subTest(seconds):
                found = replies.from_error(
                    errors.refusal(errors.Code.overload, 'busy', seconds),
                )
                self.assertEqual(found.headers['Retry-After'], header)
                body = json.loads(typing.cast(bytes, found.body))
                self.assertEqual(body['retry_after_ms'], milliseconds)

    def test_no_retry_after(self) -> None:
        """Guards against a retry time for errors that have none."""
        found = replies.from_error(errors.refusal(errors.Code.quota, ''))
        self.assertNotIn('Retry-After', found.headers)

    def test_every_code_has_its_status(self) -> None:
        """Guards against a new code that gets the status of a failed job."""
        unnamed = {code.value for code in errors.Code} - {
            code.value for code in statuses.STATUS_BY_CODE
        }
        self.assertEqual(unnamed - {'settings'}, FAILED)


class UnconfiguredTest(unittest.TestCase):
    """Guards against an entry that accepts jobs without a configuration."""

    def test_refusal(self) -> None:
        """Guards against an accepted job and a reply without a retry time."""
        with tempfile.TemporaryDirectory() as folder:
            system = fleet.Fleet(
                fleet.Plan((), entries=1),
                pathlib.Path(folder),
            )
            system.entries[0].start()
            try:
                head, body = self.submit(system.entry_addresses[0])
            finally:
                code = system.entries[0].stop()
        self.assertIn(b' 503 ', head)
        self.assertIn(b'Retry-After: 1', head)
        self.assertEqual(body['verdict'], 'not_run')
        self.assertIn(body['code'], {'no_configuration', 'unavailable'})
        self.assertEqual(code, 0)

    def submit(self, address: str) -> tuple[bytes, typing.Any]:
        """Submit once the entry is live; return headers and body."""
        fleet.wait_until(lambda: _alive(address), 'the entry answers')
        host, _, port = address.partition(':')
        with socket.create_connection((host, int(port)), 30) as connection:
            connection.sendall(
                b'POST /v1/jobs HTTP/1.1\r\nHost: a\r\n'
                b'Connection: close\r\nContent-Length: 2\r\n\r\n{}',
            )
            received = b''
            while part := connection.recv(65536):
                received += part
        head, _, body = received.partition(b'\r\n\r\n')
        return head, json.loads(body)


def _alive(address: str) -> bool:
    try:
        return http.call('GET', f'http://{address}/livez')[0] == 200
    except OSError:
        return False
