"""One process of a system that tests and benchmarks start."""

import dataclasses
import pathlib
import signal
import subprocess
import sys
import typing

_STOP_TIMEOUT_S: typing.Final = 60.0


@dataclasses.dataclass
class Process:
    """One process of the fleet, with its arguments and log file."""

    name: str
    arguments: list[str]
    log: pathlib.Path
    popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start or restart the process; append its output to its log file."""
        with self.log.open('ab') as output:
            self.popen = subprocess.Popen(
                [sys.executable, '-m', 'poplardrum', *self.arguments],
                stdout=output,
                stderr=output,
            )

    @property
    def handle(self) -> subprocess.Popen[bytes]:
        """Return the `Popen` object; raise unless the process was started."""
        if self.popen is None:
            raise RuntimeError(f'{self.name} was not started')
        return self.popen

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.handle.send_signal(number)

    def stop(self) -> int:
        """Resume and stop the process gracefully; return the exit code."""
        if self.handle.poll() is None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGTERM)
        return self.wait()

    def pause(self) -> None:
        """Suspend the process until `resume`."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a paused process."""
        self.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Send SIGKILL and wait until the process has ended."""
        self.send_signal(signal.SIGKILL)
        self.wait()

    def wait(self) -> int:
        """Wait for the exit code; kill the process after the stop timeout."""
        try:
            return self.handle.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.handle.kill()
            self.handle.wait()
            return -signal.SIGKILL
