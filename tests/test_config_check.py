"""Checks of a configuration before it is sent, case by case."""

import hashlib
import json
import typing
import unittest

from poplardrum import findings
from poplardrum.operators import document, fleet_checks, rule_checks, status
from poplardrum.platform import document_checks

DIGEST: typing.Final = hashlib.sha256(b'a').hexdigest()
TENANT: typing.Final = f'[tenant t]\ncredential_sha256 = {DIGEST}\n'
NO_TASK: typing.Final = 'no job of this tenant is admitted'

# Text of `a.ini`, text of `b.ini`, findings without those on `[tenant t]`.
RULES: typing.Final[tuple[tuple[str, str, list[str]], ...]] = (
    (TENANT, '', []),
    ('', '', ['warning: [tenant]: no tenant, so that no request is accepted']),
    (
        'x\n[limits]\ny\nmax_wait = 3\nz\n[class a]\n[class a]\nq\n[kinds]\n',
        '[kind b]\ndeclared = 1 s\ndeclared = 2 s\n',
        [
            'error: a.ini:1: a line before any section',
            r"error: a.ini:3: neither section nor option: 'y\n'",
            'error: a.ini:4: [limits] max_wait: expected a duration such as '
            "250 ms, 2 s, 5 min, got '3'",
            r"error: a.ini:5: neither section nor option: 'z\n'",
            'error: a.ini:7: [class a]: the section stands twice in this file',
            'error: a.ini:9: [kinds]: unknown section',
            'error: b.ini:3: [kind b] declared: the option stands twice',
            'warning: a.ini:6: [class a]: a section without options',
        ],
    ),
    (
        f'{TENANT}[class c]\nurgency = 1\ndeadline = 1 s\n',
        '[class c]\nurgency = 2\n',
        [
            'warning: a.ini:4: [class c] urgency: overridden at b.ini:2: [class c] urgency'
        ],
    ),
    (
        f'{TENANT}[limits]\nmax_wait = 1 s\n',
        '[limits]\nmax_wait = 2 s\n',
        [
            'warning: a.ini:3: [limits]: never takes effect, overridden at b.ini:2: [limits] max_wait'
        ],
    ),
    (
        f'{TENANT}[kind K]\ndeclared = 1 s\n[kind k]\ndeclared = 1 s\n',
        '',
        [
            'warning: a.ini:5: [kind k]: differs from [kind K] only in upper and lower case'
        ],
    ),
    (
        f'{TENANT}max_jobs = 0\n',
        '',
        [f'warning: a.ini:3: [tenant t] max_jobs: {NO_TASK}'],
    ),
    (
        f'{TENANT}max_jobs = 9\nmax_tasks = 8\n[limits]\nmax_tasks_per_job = 8',
        '',
        [
            'warning: a.ini:3: [tenant t] max_jobs: 9 jobs are never reached, since each has a task and max_tasks is 8'
        ],
    ),
    (
        f'{TENANT}max_jobs = 5\nmax_tasks = 5\n',
        '',
        [
            'warning: a.ini:4: [tenant t] max_tasks: jobs of more than 5 tasks are never admitted, though max_tasks_per_job is 710'
        ],
    ),
    (
        f'{TENANT}[class c]\ndeadline = 1 s\n[kind k]\ndeclared = 2 s\n',
        '[kind l]\ndeclared = 90 s\n',
        [
            'warning: a.ini:4: [class c] deadline: 1 s is below the declared time of each kind',
            'warning: b.ini:2: [kind l] declared: 90 s is above the deadline of each class, at most 60 s',
        ],
    ),
    (
        f'{TENANT}[limits]\nmax_wait = 2 min\nmax_tasks_per_job = 711\n',
        '',
        [
            'warning: a.ini:4: [limits] max_wait: 120 s is above the deadline of each class, at most 60 s',
            'warning: a.ini:5: [limits] max_tasks_per_job: has no effect above 710, unless the settings of the entries allow more tasks',
        ],
    ),
)
# Text of a file, findings against an entry and two agents in two regions.
FLEETS: typing.Final[tuple[tuple[str, list[str]], ...]] = (
    (TENANT, []),
    (
        f'{TENANT}[worker x]\nstate = ready\n[worker entry-0]\nstate = ready\n',
        [
            'warning: a.ini:3: [worker x]: never matches: the fleet has no such worker',
            'warning: a.ini:5: [worker entry-0]: never matches: is an entry',
        ],
    ),
    (
        f'{TENANT}region = north\n[worker agent-1]\nstate = leaving\n',
        [
            'warning: [tenant]: region east is the home of no tenant',
            'warning: [tenant]: region west is the home of no tenant',
            'warning: a.ini:3: [tenant t] region: no worker is in region north',
            'warning: a.ini:5: [worker agent-1] state: all 1 workers of region west are leaving',
        ],
    ),
    ('[worker x]\nstate = gone\n', []),
)
ROUTE: typing.Final[dict[str, typing.Any]] = {
    'Name': 'r-1',
    'Host': 'jobs.example',
    'Prefix': '/jobs/',
    'Service': 'intake',
}
# Changes of the route, changes of the document, findings.
DOCUMENTS: typing.Final[
    tuple[tuple[dict[str, typing.Any], dict[str, typing.Any], list[str]], ...]
] = (
    ({'Priority': 1, 'TimeoutMs': 60, 'TargetLatencyMs': 60}, {}, []),
    (
        {'Host': 3, 'Stretch': 'x'},
        {'Version': True},
        [
            'error: Version: Expected `int`, got `bool`',
            'error: Routes[0].Host: Expected `str`, got `int`',
            'error: Routes[0].Stretch: Expected `float`, got `str`',
        ],
    ),
    (
        {'Host': 'jobs.example:80', 'Prefix': '', 'Prority': 1},
        {},
        [
            'warning: Routes[0].Prority: has no effect, perhaps Priority is meant',
            'warning: Routes[0].Host: never matches: expected a host without a port',
            'warning: Routes[0].Prefix: never matches a job: expected a leading /',
        ],
    ),
    (
        {'Host': 'Jobs.example'},
        {},
        [
            'warning: Routes[0].Host: matches only requests in the same letter case'
        ],
    ),
    (
        {},
        {
            'Routes': [
                ROUTE,
                ROUTE,
                {**ROUTE, 'Name': 'r-2', 'Prefix': '/jobs/a0'},
            ]
        },
        [
            'warning: Routes[1]: never matches: Routes[0] has the same Host and Prefix',
            'warning: Routes[1].Name: Routes[0] has the same name',
            'warning: Routes[0].Prefix: Routes[2] takes the jobs whose ids begin with a0',
            'warning: Routes[1].Prefix: Routes[2] takes the jobs whose ids begin with a0',
        ],
    ),
    (
        {
            'MaxAttempts': 0,
            'Stretch': 0.5,
            'TimeoutMs': 50,
            'TargetLatencyMs': 60,
        },
        {},
        [
            'warning: Routes[0].MaxAttempts: 0 counts as 1',
            'warning: Routes[0].Stretch: 0.5 targets less time than the work takes',
            'warning: Routes[0].TimeoutMs: 50 is below TargetLatencyMs, 60: callers leave before the target',
        ],
    ),
    (
        {},
        {'Services': [{'Name': 'a'}, {'Name': 'b', 'Spare': True}, {}]},
        [
            'error: Services[2].Name: Expected `str`, got `null`',
            'warning: Services[0]: no route uses a',
            "warning: Routes[0].Service: Services has no 'intake'",
        ],
    ),
    (
        {},
        {
            'Limits': {
                'MaxBodyBytes': 3999,
                'HeaderTimeoutMs': 9,
                'IdleTimeoutMs': 8,
            }
        },
        [
            'warning: Limits.MaxBodyBytes: 3999 is below the 4000 bytes that a Specification may have',
            'warning: Limits.HeaderTimeoutMs: 9 is above IdleTimeoutMs, 8',
        ],
    ),
    (
        {},
        {'Limits': {'IdleTimeoutMs': -1}, 'Routes': 1},
        [
            'error: Routes: expected a list',
            'error: Limits.IdleTimeoutMs: Expected `float` >= 0.0',
        ],
    ),
    (
        {},
        {'Version': 7},
        ['error: Version: 7 is not above 7, so it is ignored'],
    ),
    (
        {},
        {'Routes': []},
        [
            'warning: Routes: no route, so that no job is accepted',
            'warning: Services[0]: no route uses intake',
        ],
    ),
)
# Content that is no document, start of the finding.
MALFORMED: typing.Final[tuple[tuple[bytes, str], ...]] = (
    (b'{"Version":\n 1,}', 'error: line 2, column 4: '),
    (b'\xff', 'error: '),
    (b'[]', 'error: expected an object'),
    (b'[' * 100_000, 'error: '),
    (b'{"Version": 1, "Routes": [], "x": NaN}', 'error: entries cannot decode'),
    (
        b'{"Version": 1, "Version": 2, "Routes": []}',
        'warning: Version: stands twice',
    ),
)


def lines(found: typing.Iterable[findings.Finding]) -> list[str]:
    """Return findings as they are printed."""
    return [
        ': '.join(filter(None, (row.severity.value, row.location, row.message)))
        for row in findings.ordered(found)
    ]


def build(changes: dict[str, typing.Any], **more: typing.Any) -> bytes:
    """Return a document with one route."""
    content = {
        'Version': 8,
        'Routes': [{**ROUTE, **changes}],
        'Services': [{'Name': 'intake'}],
        **more,
    }
    return json.dumps(content).encode()


def member(member_id: str, region: str) -> status.MemberStatus:
    """Return a process of the fleet."""
    role = member_id.partition('-')[0]
    return status.MemberStatus(member_id, role, region, 'z', 'ready', True, 1)


class RuleChecksTest(unittest.TestCase):
    """Guards against findings on rules that are missed, wrong or misplaced."""

    def test_findings(self) -> None:
        """Guards against a wrong finding, or one that hides another."""
        for first, second, expected in RULES:
            with self.subTest(first):
                files = {'a.ini': first, 'b.ini': second}
                found = rule_checks.check(files, document.Bounds())
                self.assertEqual(lines(found), expected)

    def test_refused_by_the_entry(self) -> None:
        """Guards against files called correct that an entry refuses."""
        for name, bounds, expected in (
            ('a b.ini', document.Bounds(), "'a b.ini': expected a file name"),
            ('a.ini', document.Bounds(max_file_bytes=9), 'a.ini: over 9 bytes'),
        ):
            with self.subTest(name):
                found = rule_checks.check({name: TENANT}, bounds)
                self.assertIn(f'error: {expected}', lines(found)[0])

    def test_fleet(self) -> None:
        """Guards against a rule for a process that does not exist."""
        members = [
            member('entry-0', 'east'),
            member('agent-0', 'east'),
            member('agent-1', 'west'),
        ]
        for text, expected in FLEETS:
            with self.subTest(text):
                found = fleet_checks.check({'a.ini': text}, members)
                self.assertEqual(lines(found), expected)

    def test_differences(self) -> None:
        """Guards against differences in form only, and those not shown."""
        old = {'a.ini': '[kind k]\ndeclared = 1 s\n[limits]\nmax_wait = 3 s\n'}
        new = {
            'a.ini': '[kind k]\ndeclared = 1000 ms\n',
            'b.ini': '[kind l]\ndeclared = 1 s\n',
        }
        self.assertEqual(
            lines(rule_checks.compare(old, new)),
            [
                'difference: [kind l] declared: added: 1 s',
                'difference: [limits] max_wait: removed: 3 s',
            ],
        )
        new['a.ini'] = '[kind k]\ndeclared = 2 s\n'
        changed = lines(rule_checks.compare(old, new))[0]
        self.assertEqual(changed, 'difference: [kind k] declared: 1 s -> 2 s')


class DocumentChecksTest(unittest.TestCase):
    """Guards against findings on a document that are missed or wrong."""

    def test_findings(self) -> None:
        """Guards against a wrong finding, or one that hides another."""
        in_force = build({}, Version=7)
        for route, more, expected in DOCUMENTS:
            with self.subTest(route=route, more=more):
                found = document_checks.check(build(route, **more), in_force)
                self.assertEqual(lines(found), expected)

    def test_malformed(self) -> None:
        """Guards against a traceback, or a document called correct."""
        for content, expected in MALFORMED:
            with self.subTest(content[:40]):
                found = lines(document_checks.check(content))
                self.assertIn(expected, '\n'.join(found))

    def test_differences(self) -> None:
        """Guards against routes that are compared by their order."""
        second = {**ROUTE, 'Name': 'r-2'}
        old = build({}, Routes=[ROUTE, second], Limits={'MaxBodyBytes': 9})
        new = build({}, Routes=[second, {**ROUTE, 'Stretch': 2}])
        self.assertEqual(
            lines(document_checks.compare(old, new)),
            [
                'difference: Limits.MaxBodyBytes: removed: 9',
                'difference: Routes[r-1].Stretch: added: 2',
            ],
        )
