"""The HTTP interface for callers with invalid input, over real connections."""

import contextlib
import json
import pathlib
import re
import socket
import tempfile
import threading
import typing
import unittest

from poplardrum.standins import fleet, http

CREDENTIAL: typing.Final = 'lakeshore-secret'
RULES: typing.Final = {
    '10-tenants.ini': fleet.tenant_rule('lakeshore', CREDENTIAL),
    '20-limits.ini': '[limits]\nmax_wait = 1 s\nmax_tasks_per_job = 20\n',
}
# Limits of the processes under test, small enough to exceed cheaply.
LIMITS: typing.Final = (
    'body = 20 KB\npayload = 8 KB\nkey = 16\nnesting = 4\nheader = 1 KB\n'
    'tasks = 30\nbody_time = 1 s\n'
)
GOOD: typing.Final = {'tasks': [{'kind': 'weigh-in'}]}
AUTH: typing.Final = f'Bearer {CREDENTIAL}'


class Case(typing.NamedTuple):
    """One invalid request and the reply it must get."""

    name: str
    status: int
    code: str
    body: typing.Any = GOOD
    headers: dict[str, str] = {}
    method: str = 'POST'
    path: str = '/v1/jobs'
    mentions: str = ''


def task(**fields: typing.Any) -> dict[str, typing.Any]:
    """Return a job of one task with the given fields."""
    return {'tasks': [{'kind': 'weigh-in', **fields}]}


BAD: typing.Final = (400, 'bad_request')
CASES: typing.Final[tuple[Case, ...]] = (
    Case('not JSON', *BAD, b'{"tasks": ['),
    Case('empty body', *BAD, b''),
    Case('not UTF-8', *BAD, b'{"tasks": [{"kind": "\xff"}]}'),
    Case('a list', *BAD, []),
    Case('no tasks field', *BAD, {}),
    Case('no tasks', *BAD, {'tasks': []}),
    Case('tasks a string', *BAD, {'tasks': 'x'}, mentions='$.tasks'),
    Case('unknown job field', *BAD, {**GOOD, 'x': 1}, mentions='x'),
    Case('unknown task field', *BAD, task(x=1), mentions='x'),
    Case('missing kind', *BAD, {'tasks': [{}]}, mentions='kind'),
    Case('kind with space', *BAD, task(kind='a b')),
    Case('kind too long', *BAD, task(kind='a' * 65)),
    Case('class too long', *BAD, {**GOOD, 'class': 'a' * 65}),
    Case('class empty', *BAD, {**GOOD, 'class': ''}),
    Case('payload a number', *BAD, task(payload=1)),
    Case('declared 0', *BAD, task(declared_ms=0)),
    Case('declared negative', *BAD, task(declared_ms=-1)),
    Case('declared over an hour', *BAD, task(declared_ms=3_600_001)),
    Case('deadline 0', *BAD, {**GOOD, 'deadline_ms': 0}),
    Case('deadline a string', *BAD, {**GOOD, 'deadline_ms': '5 s'}),
    Case('wait a string', *BAD, {**GOOD, 'wait': 'yes'}),
    Case('idempotent a number', *BAD, task(idempotent=1)),
    Case('nested too deep', *BAD, {'a': [[[[1]]]]}, mentions='deep'),
    Case('lone surrogate', *BAD, task(payload=chr(0xD800))),
    Case('key too long', *BAD, headers={'Idempotency-Key': 'k' * 17}),
    Case('key with space', *BAD, headers={'Idempotency-Key': 'a b'}),
    Case('attempt unknown', *BAD, headers={'Poplardrum-Attempt': 'second'}),
    Case('chunked without chunks', *BAD, headers={'Transfer-Encoding': 'x'}),
    Case(
        'too many tasks', 413, 'too_many_tasks', {'tasks': GOOD['tasks'] * 21}
    ),
    Case('payload too large', 413, 'too_large', task(payload='x' * 8193)),
    Case(
        'payload bytes',
        413,
        'too_large',
        json.dumps(task(payload='é' * 4097), ensure_ascii=False).encode(),
        mentions='payload',
    ),
    Case('body too large', 413, 'too_large', task(payload='x' * 21_000)),
    Case(
        'no credential',
        401,
        'unknown_credential',
        headers={'Authorization': ''},
    ),
    Case(
        'wrong credential',
        401,
        'unknown_credential',
        headers={'Authorization': 'Bearer nobody'},
    ),
    Case(
        'basic credential',
        401,
        'unknown_credential',
        headers={'Authorization': f'Basic {CREDENTIAL}'},
    ),
    Case('unknown path', 404, 'bad_request', path='/v1/nothing'),
    Case('wrong method', 405, 'bad_request', method='PUT'),
    Case(
        'unknown job',
        404,
        'unknown_job',
        None,
        method='GET',
        path='/v1/jobs/no',
    ),
    Case(
        'unknown job',
        404,
        'unknown_job',
        None,
        method='DELETE',
        path='/v1/jobs/no',
    ),
    Case('fetched key', *BAD, None, method='GET', path=f'/v1/jobs/{"k" * 17}'),
    Case('bad wait', *BAD, None, method='GET', path='/v1/jobs/no?wait=ever'),
    Case('large header', *BAD, headers={'X-Large': 'x' * 2000}),
    Case('large path', *BAD, path=f'/{"x" * 2000}'),
)
# Malformed requests by name, sent as they are.
RAW: typing.Final[tuple[tuple[str, bytes], ...]] = (
    ('not HTTP', b'\x16\x03\x01 hello\r\n\r\n'),
    ('no version', b'GET /v1/jobs\r\n\r\n'),
    ('bad length', b'POST /v1/jobs HTTP/1.1\r\nContent-Length: x\r\n\r\n'),
    (
        'bad chunk',
        (
            f'POST /v1/jobs HTTP/1.1\r\nHost: a\r\nAuthorization: {AUTH}\r\n'
            'Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n'
        ).encode(),
    ),
    (
        'body stops half way',
        (
            f'POST /v1/jobs HTTP/1.1\r\nHost: a\r\nAuthorization: {AUTH}\r\n'
            'Content-Length: 100\r\n\r\n{"tasks": ['
        ).encode(),
    ),
)


class CallersTest(unittest.TestCase):
    """Guards against invalid input that starts tasks or gets no JSON reply."""

    stack: contextlib.ExitStack
    fleet: fleet.Fleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start one entry and one agent with small limits."""
        cls.stack = contextlib.ExitStack()
        # Also if the set-up fails.
        cls.addClassCleanup(cls.stack.close)
        directory = cls.stack.enter_context(tempfile.TemporaryDirectory())
        plan = fleet.Plan(
            (fleet.WorkerPlan(),),
            entries=1,
            settings={'limits': LIMITS, 'logs': 'form = json\n'},
        )
        cls.fleet = fleet.Fleet(plan, pathlib.Path(directory))
        cls.stack.callback(cls.fleet.stop)
        cls.fleet.start(RULES)

    def call(self, case: Case) -> tuple[int, typing.Any]:
        """Send the request of a case."""
        content = case.body
        if content is not None and not isinstance(content, bytes):
            content = json.dumps(content).encode()
        return http.call_bytes(
            case.method,
            f'http://{self.fleet.entry_addresses[0]}{case.path}',
            content,
            {'Authorization': AUTH, **case.headers},
        )

    def connect(self) -> socket.socket:
        """Open a connection to the entry."""
        host, _, port = self.fleet.entry_addresses[0].partition(':')
        return socket.create_connection((host, int(port)), timeout=30)

    def test_wrong_input(self) -> None:
        """Guards against invalid requests that start tasks or get no code."""
        before = self.fleet.starts()
        for case in CASES:
            with self.subTest(case.name, method=case.method):
                status, reply = self.call(case)
                self.assertEqual((status, reply['code']), case[1:3])
                self.assertEqual(reply['verdict'], 'not_run')
                self.assertIn(case.mentions, reply['message'])
        self.assertEqual(self.fleet.starts(), before)

    def test_raw_bytes(self) -> None:
        """Guards against malformed HTTP that hangs or gets no JSON reply."""
        before = self.fleet.starts()
        for name, content in RAW:
            with self.subTest(name):
                reply = self.exchange(content)
                self.assertEqual(reply['code'], 'bad_request')
                self.assertEqual(reply['verdict'], 'not_run')
        self.assertEqual(self.fleet.starts(), before)

    def exchange(self, content: bytes) -> typing.Any:
        """Send bytes and return the decoded body of the reply."""
        with self.connect() as connection:
            connection.sendall(content)
            received = b''
            while b'}' not in received:
                part = connection.recv(65536)
                if not part:
                    break
                received += part
        return json.loads(received.partition(b'\r\n\r\n')[2])

    def test_late_body(self) -> None:
        """Guards against a reply lost to a reset while the body is sent."""
        head = b'POST /v1/jobs HTTP/1.1\r\nContent-Length: x\r\n\r\n'
        for _ in range(5):
            with self.connect() as connection:
                connection.sendall(head)
                # Wait until the reply arrives before the rest is sent.
                connection.recv(1, socket.MSG_PEEK)
                for _ in range(4):
                    connection.sendall(b'x' * 1000)
                received = connection.recv(65536)
            self.assertIn(b'bad_request', received)

    def test_chunked_body(self) -> None:
        """Guards against a chunked body of which only a part is read."""
        body = json.dumps(GOOD).encode()
        chunks = b''.join(b'1\r\n%c\r\n' % character for character in body)
        head = (
            f'POST /v1/jobs HTTP/1.1\r\nHost: a\r\nAuthorization: {AUTH}\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
        )
        reply = self.exchange(head.encode() + chunks + b'0\r\n\r\n')
        self.assertEqual(reply['code'], 'ok')

    def test_disconnected_caller(self) -> None:
        """Guards against a job that ends when its caller disconnects."""
        body = json.dumps(task(payload='{"seconds": 0.6}')).encode()
        head = (
            f'POST /v1/jobs HTTP/1.1\r\nHost: a\r\nAuthorization: {AUTH}\r\n'
            'Idempotency-Key: gone\r\nPoplardrum-Attempt: first\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        before = sum(self.fleet.starts().values())
        with self.connect() as connection:
            connection.sendall(head.encode() + body)
            fleet.wait_until(
                lambda: sum(self.fleet.starts().values()) > before,
                'the task has started',
            )
        status, reply = self.call(
            Case('', 200, 'ok', None, {}, 'GET', '/v1/jobs/gone?wait=1'),
        )
        self.assertEqual((status, reply['state']), (200, 'complete'))
        self.assertEqual(sum(self.fleet.starts().values()), before + 1)

    def test_bounded_wait(self) -> None:
        """Guards against a fetch that waits for as long as the job runs."""
        job = {**task(payload='{"seconds": 4}'), 'wait': False}
        status, reply = self.call(
            Case('', 202, 'accepted', job, {'Idempotency-Key': 'slow'}),
        )
        self.assertEqual((status, reply['state']), (202, 'running'))
        status, reply = self.call(
            Case('', 202, 'accepted', None, {}, 'GET', '/v1/jobs/slow?wait=1'),
        )
        self.assertEqual((status, reply['state']), (202, 'running'))

    def test_many_callers_get_their_own_answer(self) -> None:
        """Guards against replies that reach the wrong caller."""
        answers: dict[int, typing.Any] = {}

        def submit(number: int) -> None:
            payload = json.dumps({'seconds': 0.02, 'reply': f'mine {number}'})
            answers[number] = self.call(
                Case('', 200, 'ok', task(payload=payload)),
            )[1]

        threads = [
            threading.Thread(target=submit, args=(number,))
            for number in range(40)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        outputs = {
            number: reply['tasks'][0]['output']
            for number, reply in answers.items()
        }
        self.assertEqual(
            outputs,
            {number: f'mine {number}' for number in range(40)},
        )

    def test_metrics(self) -> None:
        """Guards against metrics that are missing."""
        self.call(Case('', 200, 'ok'))
        self.call(Case('', 400, 'bad_request', {}))
        _, entry = http.call(
            'GET',
            f'http://{self.fleet.entry_addresses[0]}/metrics',
        )
        number = self.fleet.status()['config']
        for line in (
            'poplardrum_replies_total{code="ok",tenant="lakeshore"}',
            'poplardrum_refusals_total{code="bad_request",tenant="lakeshore"}',
            'poplardrum_response_seconds_count{class="default"',
            'poplardrum_response_seconds{class="default",quantile="0.99"',
            'poplardrum_link_up{member="agent-0",state="ready"} 1',
            'poplardrum_requests_in_flight 0',
            'poplardrum_frames_total',
            'poplardrum_platform_calls{call="',
        ):
            self.assertIn(line, entry)
        shown = re.search(r'^poplardrum_config_number (\S+)$', entry, re.M)
        self.assertEqual(float(shown.group(1) if shown else 0), number)
        _, agent = http.call(
            'GET',
            f'http://{self.fleet.agent_addresses[0]}/metrics',
        )
        for line in (
            'poplardrum_task_starts_total{tenant="lakeshore"}',
            'poplardrum_slots 8',
            'poplardrum_queued_tasks 0',
            'poplardrum_running_tasks',
            'poplardrum_items_total{kind="JobReply"}',
        ):
            self.assertIn(line, agent)

    def test_log_lines_have_job(self) -> None:
        """Guards against log lines without the job that they belong to."""
        _, reply = self.call(Case('', 200, 'ok'))
        log = self.fleet.entries[0].log.read_text()
        lines = [json.loads(line) for line in log.splitlines()]
        mine = [line for line in lines if line['job'] == reply['job']]
        self.assertTrue(mine)
        self.assertIn(reply['key'], mine[0]['message'])
