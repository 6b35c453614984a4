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

_IDLE_DURATION_S: typing.Final = 60
_OUTAGE_DURATION_S: typing.Final = 15
_ROUNDS: typing.Final = 5
_WORKER_COUNT: typing.Final = 10
_TENANT_RULE: typing.Final = fleet.tenant_rule('lakeshore', 'secret')


class Measurement:
    """A fleet of today's size under measurement."""

    def __init__(self, directory: pathlib.Path) -> None:
        """Plan two entries and ten workers."""
        workers = tuple(fleet.WorkerPlan() for _ in range(_WORKER_COUNT))
        self.fleet = fleet.Fleet(fleet.Plan(workers), directory)

    def call_platform(
        self, method: str, path: str, body: typing.Any = None
    ) -> int:
        """Call the stand-in; return the number of calls it has counted."""
        url = f'http://{self.fleet.platform_address}'
        if body is not None:
            http.call(method, url + path, body)
        _, calls = http.call('GET', f'{url}/calls')
        return sum(calls.values())

    def idle_call_rate(self) -> float:
        """Return the calls a minute without any change."""
        before = self.call_platform('GET', '/calls')
        time.sleep(_IDLE_DURATION_S)
        calls = self.call_platform('GET', '/calls') - before
        return calls * 60 / _IDLE_DURATION_S

    def outage_call_rate(self) -> float:
        """Return the calls a minute in an outage."""
        self.call_platform('PUT', '/switch', {'outage': True})
        before = self.call_platform('GET', '/calls')
        time.sleep(_OUTAGE_DURATION_S)
        calls = self.call_platform('GET', '/calls') - before
        self.call_platform('PUT', '/switch', {'outage': False})
        return calls * 60 / _OUTAGE_DURATION_S

    def measure_propagation(self, number: int) -> float:
        """Return the seconds from the platform's return to in force."""
        edit = {
            'edit': f'spread-{number}',
            'files': [
                {'name': f's{number}.ini', 'base': 0, 'text': '[limits]\n'},
            ],
        }
        self.call_platform('PUT', '/switch', {'outage': True})
        time.sleep(_OUTAGE_DURATION_S)
        started = time.monotonic()
        self.call_platform('PUT', '/switch', {'outage': False})
        self.apply_edit(edit)
        return time.monotonic() - started

    def apply_edit(self, edit: typing.Any) -> None:
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
            lambda: self.min_configuration_number() >= body['number'],
            'the edit is in force',
        )

    def min_configuration_number(self) -> typing.Any:
        """Return the least number that any member reports."""
        return min(row['config'] for row in self.fleet.status()['members'])


def main() -> None:
    """Print the figures."""
    with tempfile.TemporaryDirectory() as directory:
        measured = Measurement(pathlib.Path(directory))
        try:
            measured.fleet.start({'10-tenants.ini': _TENANT_RULE})
            print(f'idle: {measured.idle_call_rate():.1f} calls a minute')
            print(f'outage: {measured.outage_call_rate():.1f} calls a minute')
            for number in range(_ROUNDS):
                print(
                    f'in force after {measured.measure_propagation(number):.2f} s'
                )
        finally:
            measured.fleet.stop()


if __name__ == '__main__':
    main()
