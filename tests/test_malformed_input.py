"""Malformed input of callers, endpoints, peers and other writers."""

import asyncio
import typing
import unittest
from unittest import mock

import hypothesis
import msgspec
from hypothesis import strategies

from poplardrum import decoding, errors, ids
from poplardrum.dispatch import (
    connections,
    jobs,
    membership,
    messages,
    records,
)
from poplardrum.peers import messages as peer_messages
from poplardrum.platform import endpoints, job_api, kv, store
from tests import profiles

EXAMPLES: typing.Final = profiles.settings(max_examples=200)
NESTING: typing.Final = 100_000
NESTED_JSON: typing.Final = b'[' * NESTING + b']' * NESTING
HUGE: typing.Final = 2**70

VALID_STEP: typing.Final = {
    'Count': 2,
    'Cpu': 500,
    'RequestedMemoryMb': 64,
    'Gpus': 0,
    'EstimatedMs': 100,
    'AntiAffinity': 1,
}
VALID_HEARTBEAT: typing.Final = {
    'Service': 's',
    'State': 'ready',
    'Sequence': 1,
    'Capacity': {'Cpu': 16000, 'RequestedMemoryMb': 1024, 'Gpus': 0},
    'born': 1,
    'ClockMs': 1,
}

json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-HUGE, HUGE)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8),
    lambda children: (
        strategies.lists(children, max_size=4)
        | strategies.dictionaries(
            strategies.sampled_from(
                (*VALID_STEP, *VALID_HEARTBEAT, 'Steps', 'Specification')
            ),
            children,
            max_size=5,
        )
    ),
    max_leaves=12,
)
bodies = strategies.binary(max_size=64) | json_values.map(msgspec.json.encode)


def submission_body(**changes: object) -> bytes:
    """Return the body of a submission of one step with changed fields."""
    return msgspec.json.encode(
        {'Specification': 'x', 'Steps': [{**VALID_STEP, **changes}]}
    )


def stored(content: bytes) -> store.StoredValue:
    """Return a value of another writer in the store."""
    return store.StoredValue(membership.PREFIX + 'n', content, 1)


class TestMalformedSubmissions(unittest.TestCase):
    """Guards against submissions that break what the entry counts with."""

    def assert_refused(self, body: bytes) -> None:
        """Check that a body is refused as malformed and not run."""
        with self.assertRaises(errors.PoplardrumError) as caught:
            job_api.decode_submission(body)
        self.assertIs(caught.exception.verdict, errors.Verdict.not_run)

    def test_numbers_out_of_range(self) -> None:
        """Fails if a negative demand could raise an endpoint's capacity."""
        for field in VALID_STEP:
            for number in (-1, HUGE, -HUGE):
                with self.subTest(field=field, number=number):
                    self.assert_refused(submission_body(**{field: number}))

    def test_deep_nesting(self) -> None:
        """Fails if a deeply nested body is an internal error."""
        self.assert_refused(b'{"x":' + NESTED_JSON + b'}')

    @EXAMPLES
    @hypothesis.given(bodies)
    def test_any_body(self, body: bytes) -> None:
        """Fails if a body raises anything but a refusal."""
        try:
            submission = job_api.decode_submission(body)
        except errors.PoplardrumError as error:
            self.assertIs(error.verdict, errors.Verdict.not_run)
            return
        for step in submission.steps:
            self.assertGreaterEqual(step.cpu_millicores, 0)


class TestMalformedHeartbeats(unittest.TestCase):
    """Guards against endpoints whose reports no peer could decode."""

    def test_numbers_out_of_range(self) -> None:
        """Fails if a capacity does not fit into a message to the entries."""
        for field in ('Cpu', 'RequestedMemoryMb', 'Gpus'):
            for number in (-1, HUGE):
                capacity = {'Cpu': 1, 'RequestedMemoryMb': 1, field: number}
                body = {**VALID_HEARTBEAT, 'Capacity': capacity}
                with self.subTest(field=field, number=number):
                    self.assertIsNone(
                        endpoints.decode_heartbeat(msgspec.json.encode(body))
                    )

    def test_deep_nesting(self) -> None:
        """Fails if a deeply nested heartbeat is an internal error."""
        self.assertIsNone(
            endpoints.decode_heartbeat(b'{"x":' + NESTED_JSON + b'}')
        )

    @EXAMPLES
    @hypothesis.given(bodies)
    def test_any_body(self, body: bytes) -> None:
        """Fails if a heartbeat raises."""
        heartbeat = endpoints.decode_heartbeat(body)
        if heartbeat is not None:
            self.assertGreaterEqual(heartbeat.capacity.cpu_millicores, 0)


class TestMalformedValues(unittest.TestCase):
    """Guards against a value in the store that ends a background loop."""

    def test_deep_nesting(self) -> None:
        """Fails if a configuration or member raises.

        The loop that reads it would fail again at each attempt, and a process
        whose loops fail too often ends.
        """
        content = b'{"x":' + NESTED_JSON + b'}'
        self.assertIsNone(job_api.decode_configuration(content))
        nested = b'["10.0.0.1",1,"i","z",[],' + NESTED_JSON + b']'
        with self.assertLogs(level='WARNING'):
            self.assertEqual(membership.decode([stored(nested)]), {})

    def test_nested_record(self) -> None:
        """Fails if a stored record with unknown nested fields raises."""
        record = msgspec.msgpack.decode(records.encode(_make_record()))
        encoded = msgspec.msgpack.encode(record)
        # One more field, which holds an array in an array and so on.
        content = bytes([encoded[0] + 1]) + encoded[1:]
        self.assertIsNone(records.decode(content + b'\x91' * NESTING + b'\x90'))

    @EXAMPLES
    @hypothesis.given(bodies)
    def test_any_value(self, content: bytes) -> None:
        """Fails if a value of another writer raises."""
        job_api.decode_configuration(content)
        with mock.patch.object(membership.logger, 'warning'):
            membership.decode([stored(content)])
        records.decode(content)

    def test_unreadable_reply(self) -> None:
        """Fails if a nested reply of the store raises anything else."""
        with self.assertRaises(errors.PoplardrumError):
            kv.decode_reply(b'{"x":' + NESTED_JSON + b'}', kv.LeaseReply)


class TestOddMembers(unittest.TestCase):
    """One odd entry of another writer among the announced ones."""

    def decode_beside_a_valid_one(
        self, content: bytes
    ) -> list[messages.EntryAddress]:
        """Return the entries of a list of one odd and one valid value."""
        valid = store.StoredValue(
            f'{membership.PREFIX}valid', b'["10.0.0.1",7720,"i","z",[]]', 2
        )
        with mock.patch.object(membership.logger, 'warning'):
            snapshot = store.Snapshot(2, [stored(content), valid])
            return membership.to_entries(snapshot).entries

    def test_values_that_no_agent_can_use(self) -> None:
        """Guards against an odd entry that costs all links of all agents.

        A port too large for a message made each frame with the list fail, and
        each failure ends the link; one out of range cannot be dialled.
        """
        for content in (
            b'["10.0.0.1",%d]' % HUGE,
            b'["10.0.0.1",70000]',
            b'["10.0.0.1",0]',
            b'["10.0.0.1",-1]',
            b'["%s",1]' % (b'x' * NESTING),
            b'["10.0.0.1",1,"i","z",["%s"]]' % (b'x' * NESTING),
            NESTED_JSON,
        ):
            with self.subTest(content=content[:32]):
                addresses = self.decode_beside_a_valid_one(content)
                self.assertEqual([each.port for each in addresses], [7720])

    @EXAMPLES
    @hypothesis.given(json_values, json_values, json_values)
    def test_any_fields(self, host: object, port: object, zone: object) -> None:
        """Guards against a list that cannot be sent to agents."""
        content = msgspec.json.encode([host, port, 'i', zone])
        addresses = self.decode_beside_a_valid_one(content)
        message = messages.Entries(1, addresses)
        self.assertTrue(msgspec.msgpack.encode([message]))


class TestOddRegistrations(unittest.TestCase):
    """One odd registration of another writer, in the product's own form."""

    def test_values_that_no_peer_can_use(self) -> None:
        """Guards against a registration that costs the links of its readers."""
        valid = peer_messages.Member(
            ids.MemberId('m'),
            peer_messages.Role.agent,
            ids.Incarnation('i'),
            '10.0.0.1',
            7720,
            'r',
            'z',
        )
        document = msgspec.json.decode(msgspec.json.encode(valid))
        self.assertEqual(self.decode(document), valid)
        for field, odd in (
            ('port', HUGE),
            ('port', 70000),
            ('version', HUGE),
            ('host', 'x' * NESTING),
        ):
            with self.subTest(field=field):
                with self.assertRaises(msgspec.DecodeError):
                    self.decode({**document, field: odd})

    def decode(self, document: dict[str, object]) -> peer_messages.Member:
        """Decode a registration as its readers do."""
        content = msgspec.json.encode(document)
        return decoding.decode_json(content, peer_messages.Member)


class TestOddRecords(unittest.TestCase):
    """Records of another writer that no job can have."""

    def assert_unreadable(self, **changes: object) -> None:
        """Check that a record with changed fields is skipped."""
        step = jobs.Step(0, 0, 2, messages.Resources(1, 1, 0), 0.1)
        record = msgspec.structs.replace(_make_record(), steps=[step])
        self.assertIsNotNone(records.decode(records.encode(record)))
        changed = msgspec.structs.replace(record, **changes)
        self.assertIsNone(records.decode(records.encode(changed)))

    def test_tasks_that_the_job_does_not_have(self) -> None:
        """Guards against a scan for takeovers that fails at each attempt."""
        self.assert_unreadable(done_tasks=[2])
        self.assert_unreadable(done_tasks=[-1])
        self.assert_unreadable(failure_counts={7: 1})
        self.assert_unreadable(epoch=2**62)

    def test_steps_that_no_submission_can_have(self) -> None:
        """Guards against a record that takes all memory of its next owner."""
        need = messages.Resources(1, 1, 0)
        for step in (
            jobs.Step(0, 0, 2**40, need, 0.1),
            jobs.Step(0, 0, -1, need, 0.1),
            jobs.Step(0, 3, 2, need, 0.1),
            jobs.Step(0, 0, 2, messages.Resources(2**62, 1, 0), 0.1),
            jobs.Step(0, 0, 2, need, 0.1, after=(0,)),
        ):
            with self.subTest(step=step):
                self.assert_unreadable(steps=[step])


class TestMalformedFrames(unittest.IsolatedAsyncioTestCase):
    """Guards against frames that end the task of a connection."""

    async def test_nested_frame(self) -> None:
        """Fails if a deeply nested frame raises anything but a lost link.

        The frame has a ping with one more field, an array in an array and so
        on.
        """
        body = b'\x91\x92\x06' + b'\x91' * NESTING + b'\x90'
        reader = asyncio.StreamReader()
        reader.feed_data(len(body).to_bytes(4, 'big') + body)
        link = connections.Link(reader, mock.Mock())
        with self.assertRaises(errors.PoplardrumError) as caught:
            await link.receive()
        self.assertIs(caught.exception.code, errors.Code.link_lost)

    async def test_long_first_frame(self) -> None:
        """Fails if a stranger may send a long frame before its hello."""
        reader = asyncio.StreamReader()
        reader.feed_data((100_000).to_bytes(4, 'big') + b'x')
        link = connections.Link(reader, mock.Mock())
        with self.assertRaisesRegex(errors.PoplardrumError, 'frame'):
            await link.receive_hello(messages.AgentHello, 0.1)

    async def test_message_that_cannot_be_encoded(self) -> None:
        """Fails if one message blocks all later ones on its link."""
        writer = mock.Mock()
        writer.transport.is_closing.return_value = False
        link = connections.Link(asyncio.StreamReader(), writer)
        link.send(messages.StopTasks(ids.JobId('j'), [messages.RunId(HUGE, 1)]))
        with self.assertLogs(level='ERROR'):
            link.flush()
        self.assertTrue(link.closed)
        self.assertEqual(link.pending, [])


def _make_record() -> records.Record:
    return records.Record(
        owner=ids.Incarnation('o'),
        epoch=0,
        queue='q',
        service='s',
        urgency=0,
        max_attempts=1,
        target_latency=1.0,
        specification='x',
        steps=[],
    )
