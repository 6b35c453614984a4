"""Platform calls of an idle fleet, and the spread after an outage.

    python -m bench.configuration

prints the calls a minute by method and the seconds from the platform's
return until an edit that is sent then is in force at all members.
"""

import pathlib
import tempfile
import time
import typing

from poplardrum.standins import fleet, http

_IDLE_SECONDS: typing.Final = 60
_OUTAGE_SECONDS: typing.Final = 15
_ROUNDS: typing.Final = 5
_WORKERS: typing.Final = 10
_TENANT: typing.Final = fleet.tenant_rule('lakeshore', 'secret')


class Measurement:
    """A fleet of today's size under measurement."""

    def __init__(self, directory: pathlib.Path) -> None:
        """Plan two entries and ten workers."""
        workers = tuple(fleet.WorkerPlan() for _ in range(_WORKERS))
        self.fleet = fleet.Fleet(fleet.Plan(workers), directory)

    def platform(self, method: str, path: str, body: typing.Any = None) -> int:
        """Call the stand-in; return the number of calls it has counted."""
        url = f'http://{self.fleet.platform_address}'
        if body is not None:
            http.call(method, url + path, body)
        _, calls = http.call('GET', f'{url}/calls')
        return sum(calls.values())

    def idle(self) -> float:
        """Return the calls a minute without any change."""
        before = self.platform('GET', '/calls')
        time.sleep(_IDLE_SECONDS)
        calls = self.platform('GET', '/calls') - before
        return calls * 60 / _IDLE_SECONDS

    def outage(self) -> float:
        """Return the calls a minute in an outage."""
        self.platform('PUT', '/switch', {'outage': True})
        before = self.platform('GET', '/calls')
        time.sleep(_OUTAGE_SECONDS)
        calls = self.platform('GET', '/calls') - before
        self.platform('PUT', '/switch', {'outage': False})
        return calls * 60 / _OUTAGE_SECONDS

    def spread(self, number: int) -> float:
        """Return the seconds from the platform's return to in force."""
        edit = {
            'edit': f'spread-{number}',
            'files': [
                {'name': f's{number}.ini', 'base': 0, 'text': '[limits]\n'},
            ],
        }
        self.platform('PUT', '/switch', {'outage': True})
        time.sleep(_OUTAGE_SECONDS)
        started = time.monotonic()
        self.platform('PUT', '/switch', {'outage': False})
        self.send(edit)
        return time.monotonic() - started

    def send(self, edit: typing.Any) -> None:
        """Send an edit until it is accepted, and wait for all members."""
        while True:
            status, body = self.fleet.operator(
                'POST',
                '/v1/operator/config',
                edit,
            )
            if status == 200:
                break
        fleet.wait_until(
            lambda: self.least_number() >= body['number'],
            'the edit is in force',
        )

    def least_number(self) -> typing.Any:
        """Return the least number that any member reports."""
        return min(row['config'] for row in self.fleet.status()['members'])


def main() -> None:
    """Print the figures."""
    with tempfile.TemporaryDirectory() as directory:
        measured = Measurement(pathlib.Path(directory))
        try:
            measured.fleet.start({'10-tenants.ini': _TENANT})
            print(f'idle: {measured.idle():.1f} calls a minute')
            print(f'outage: {measured.outage():.1f} calls a minute')
            for number in range(_ROUNDS):
                print(f'in force after {measured.spread(number):.2f} s')
        finally:
            measured.fleet.stop()


if __name__ == '__main__':
    main()
