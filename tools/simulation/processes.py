"""The processes of a simulated fleet: the real parts of entries and agents."""

import asyncio
import functools
import random
import typing

from poplardrum import errors, ids, ini
from poplardrum.dispatch import (
    agent,
    coordinator,
    executor,
    jobs,
    links,
    messages,
    polling,
    run_numbers,
    stale_requests,
    timing,
)
from poplardrum.platform import endpoints, settings_file
from tools.simulation import (
    checks,
    endpoint,
    endpoint_client,
    network,
    virtual_time,
)

# How long after an attempt without an answer callers submit a job again.
RESUBMISSION_S: typing.Final = 1.3
_STOP_TIME_S: typing.Final = 0.05
_PORT: typing.Final = 7720
_DEADLINE_MARGIN_S: typing.Final = 0.03
_LONGEST_WAIT_S: typing.Final = 0.4
# When a scenario begins, in seconds since 1970.
_TIME_OF_DAY: typing.Final = 1.8e9
_STATUS_BY_VERDICT: typing.Final = {
    errors.Verdict.not_run: 503,
    errors.Verdict.may_have_run: 504,
    errors.Verdict.ran: 504,
}

Answer = typing.Callable[[int], None]


def address(node: str) -> ini.Address:
    """Return where agents reach an entry."""
    return node, _PORT


class EntryProcess:
    """A process with the coordinator and the agent links of an entry."""

    def __init__(
        self,
        simulation: virtual_time.Simulation,
        net: network.Network,
        node: str,
        entries: typing.Sequence[str],
    ) -> None:
        """Start an entry of a fleet with the given entries."""
        self.process = virtual_time.Process(simulation, node)
        self.coordinator = coordinator.Coordinator('zone')
        self.coordinator.index.random = random.Random(random.random())
        self.agent_links = links.AgentLinks(
            node, ids.new_incarnation(), self.coordinator
        )
        self.agent_links.send_entries(
            messages.Entries(
                1,
                [
                    messages.EntryAddress(*address(entry), 'zone')
                    for entry in entries
                ],
            )
        )
        self.run_numbers = run_numbers.RunNumbers(_TIME_OF_DAY + simulation.now)
        self.stale_requests = stale_requests.StaleRequests(
            self.coordinator.continuity, RESUBMISSION_S
        )
        net.listeners[address(node)] = (self.process, self.agent_links.serve)
        self.process.spawn(self.agent_links.keep_alive.run())
        self.process.spawn(self.agent_links.run_audit.run())

    def submit(
        self,
        request: checks.JobRequest,
        connection: asyncio.BaseTransport,
        answer: Answer,
    ) -> 'asyncio.Task[object]':
        """Handle a job of a caller; cancel the task when the caller leaves."""
        return self.process.spawn(self._handle(request, connection, answer))

    async def _handle(
        self,
        request: checks.JobRequest,
        connection: asyncio.BaseTransport,
        answer: Answer,
    ) -> None:
        try:
            job = self._make_job(request)
            await self.stale_requests.hold(job, connection)
            self.coordinator.submit(job)
            try:
                await job.outcome
            finally:
                self.coordinator.finish(job)
        except errors.PoplardrumError as error:
            answer(_STATUS_BY_VERDICT[error.verdict])
            return
        answer(200)

    def _make_job(self, request: checks.JobRequest) -> jobs.Job:
        step = jobs.Step(
            0,
            0,
            request.tasks,
            messages.Resources(request.cpu_millicores, 1, 0),
            request.duration,
        )
        now = self.process.loop.time()
        return jobs.Job(
            id=request.id,
            queue='queue',
            urgency=0,
            max_attempts=3,
            specification=request.id,
            service='service',
            steps=[step],
            estimate=request.duration,
            client_timeout=request.client_timeout,
            predicted_duration=request.duration,
            has_prediction=True,
            tasks=jobs.make_tasks([step], self.run_numbers.next_attempt()),
            arrived_at=now,
            target_latency=2 * request.duration,
            refuse_at=now + _LONGEST_WAIT_S,
            deadline=now + request.client_timeout - _DEADLINE_MARGIN_S,
            outcome=self.process.loop.create_future(),
        )


class AgentProcess:
    """A process with the executor, the poller and the links of an agent."""

    def __init__(
        self,
        simulation: virtual_time.Simulation,
        net: network.Network,
        node: str,
        served: endpoint.Endpoint,
        entries: typing.Sequence[str],
    ) -> None:
        """Start the agent of an endpoint."""
        self.process = virtual_time.Process(simulation, node)
        client = endpoint_client.EndpointClient(self.process, served)
        self.executor = executor.Executor(
            typing.cast(endpoints.EndpointClient, client),
            timing.LEASE_S,
            _STOP_TIME_S,
        )
        self.agent = agent.Agent(
            _settings(node),
            self.executor,
            functools.partial(net.connect, self.process),
        )
        served.send_heartbeat = functools.partial(
            self.process.call, self.executor.observe_heartbeat
        )
        self.process.call(self.executor.restore_status, served.last_heartbeat)
        self.process.call(
            self.agent.entry_links.add_seeds,
            [address(entry) for entry in entries],
        )
        for background_loop in (
            polling.EndpointPoller(self.executor).run,
            functools.partial(
                self.executor.lease.watch_clock, self.executor.runs.values
            ),
            self.agent.reporter.run,
            self.agent.resend_completions,
            self.agent.keep_alive.run,
            self.agent.entry_links.run,
        ):
            self.process.spawn(background_loop())


def _settings(node: str) -> settings_file.ProcessSettings:
    return settings_file.ProcessSettings(
        node=node,
        zone='zone',
        peers=address(node),
        store=address(node),
        callers=None,
        readiness=None,
        registry=None,
        endpoint=None,
        seeds=(),
        grace=6.0,
        max_lease=timing.LEASE_S,
        stop_time=_STOP_TIME_S,
        resubmission=RESUBMISSION_S,
        cancel_bound=3.0,
        config_bound=2.0,
        far_factor=1.0,
        writes_per_second=400.0,
        states_kept=120.0,
    )
