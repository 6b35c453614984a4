"""Measure platform calls, and configuration propagation after an outage.

    python -m bench.configuration

prints the calls to the platform per minute, of an idle fleet and during an
outage of the platform, and the seconds from the end of an outage until an
edit that is submitted then is in force at all members.
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
    """Measures a running fleet of two entries and ten workers."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Plan the fleet without starting it."""
        workers = tuple(fleet.WorkerPlan() for _ in range(_WORKER_COUNT))
        self.fleet = fleet.Fleet(fleet.Plan(workers), folder)

    def call_platform(
        self, method: str, path: str, body: typing.Any = None
    ) -> int:
        """Call the platform stand-in and return its count of calls so far."""
        url = f'http://{self.fleet.platform_address}'
        if body is not None:
            http.call(method, url + path, body)
        _, calls = http.call('GET', f'{url}/calls')
        return sum(calls.values())

    def idle_call_rate(self) -> float:
        """Return the calls per minute while the configuration is unchanged."""
        before = self.call_platform('GET', '/calls')
        time.sleep(_IDLE_DURATION_S)
        calls = self.call_platform('GET', '/calls') - before
        return calls * 60 / _IDLE_DURATION_S

    def outage_call_rate(self) -> float:
        """Return the calls per minute during an outage of the platform."""
        self.call_platform('PUT', '/switch', {'outage': True})
        before = self.call_platform('GET', '/calls')
        time.sleep(_OUTAGE_DURATION_S)
        calls = self.call_platform('GET', '/calls') - before
        self.call_platform('PUT', '/switch', {'outage': False})
        return calls * 60 / _OUTAGE_DURATION_S

    def propagation_s(self, number: int) -> float:
        """Return the seconds from the end of an outage to an edit in force."""
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
        """Submit an edit until it is accepted, then wait for all members."""
        while True:
            status, body = self.fleet.call_operator_api(
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
        """Return the lowest configuration number that any member reports."""
        return min(row['config'] for row in self.fleet.status()['members'])


def main() -> None:
    """Run the measurements and print them."""
    with tempfile.TemporaryDirectory() as folder:
        measurement = Measurement(pathlib.Path(folder))
        try:
            measurement.fleet.start({'10-tenants.ini': _TENANT_RULE})
            print(f'idle: {measurement.idle_call_rate():.1f} calls a minute')
            print(
                f'outage: {measurement.outage_call_rate():.1f} calls a minute'
            )
            for number in range(_ROUNDS):
                print(
                    f'in force after {measurement.propagation_s(number):.2f} s'
                )
        finally:
            measurement.fleet.stop()


if __name__ == '__main__':
    main()
