"""Edits, conflicts and joins of the configuration document."""

import hashlib
import unittest

from poplardrum import errors, ids
from poplardrum.operators import config_state, document, edits

BOUNDS = document.Bounds()


def change(
    name: str,
    text: str | None,
    base: int = 0,
) -> edits.FileEdit:
    """Return the change of one file."""
    return edits.FileEdit(name, ids.ConfigNumber(base), text)


def edit(number: int, *files: edits.FileEdit, read: int = 0) -> edits.Edit:
    """Return an edit whose id is derived from a number."""
    return edits.Edit(
        ids.EditId(f'e{number}'),
        list(files),
        ids.ConfigNumber(read),
    )


def section(name: str) -> str:
    """Return a small valid file."""
    return f'[class {name}]\n'


def tenant(name: str, credential: str) -> str:
    """Return a file with one tenant."""
    digest = hashlib.sha256(credential.encode()).hexdigest()
    return f'[tenant {name}]\ncredential_sha256 = {digest}\n'


class EditsTest(unittest.TestCase):
    """Guards against edits that are lost, applied twice or wrongly accepted."""

    def setUp(self) -> None:
        """Start with one file."""
        self.first = edits.apply(
            document.Document(),
            edit(1, change('a.ini', section('a'))),
            BOUNDS,
        )

    def refused(
        self,
        code: errors.Code,
        request: edits.Edit,
        bounds: document.Bounds = BOUNDS,
    ) -> errors.PoplardrumError:
        """Check that an edit of the first document is refused."""
        with self.assertRaises(errors.PoplardrumError) as raised:
            edits.apply(self.first, request, bounds)
        self.assertIs(raised.exception.code, code)
        return raised.exception

    def test_edit_conflict(self) -> None:
        """Guards against an edit that overwrites another without a conflict."""
        for base in (0, self.first.number + 1):
            error = self.refused(
                errors.Code.conflict,
                edit(2, change('a.ini', section('b'), base)),
            )
            assert isinstance(error, edits.ConflictError)
            self.assertIs(error.verdict, errors.Verdict.not_run)
            self.assertEqual(
                error.conflicts,
                [
                    edits.Conflict(
                        'a.ini',
                        ids.ConfigNumber(base),
                        self.first.number,
                        section('b'),
                        section('a'),
                    )
                ],
            )

    def test_different_files(self) -> None:
        """Guards against a conflict between edits of different files."""
        second = edits.apply(
            self.first,
            edit(2, change('b.ini', section('b'))),
            BOUNDS,
        )
        self.assertEqual(sorted(second.files), ['a.ini', 'b.ini'])
        self.assertGreater(second.number, self.first.number)

    def test_removed_since(self) -> None:
        """Guards against an edit that restores a removed file."""
        removed = edits.apply(
            self.first,
            edit(2, change('a.ini', None, self.first.number)),
            BOUNDS,
        )
        late = edit(3, change('a.ini', section('b'), self.first.number))
        with self.assertRaises(edits.ConflictError) as raised:
            edits.apply(removed, late, BOUNDS)
        self.assertIsNone(raised.exception.conflicts[0].theirs)

    def test_resent(self) -> None:
        """Guards against a resent edit that is applied twice."""
        again = edit(1, change('a.ini', section('a')))
        removed = edits.apply(
            self.first,
            edit(2, change('a.ini', None, self.first.number)),
            BOUNDS,
        )
        for stored in (self.first, removed):
            plan = edits.plan_edit(
                stored, config_state.ConfigState(), again, BOUNDS
            )
            self.assertEqual(plan, edits.Plan(stored, needs_write=False))
        with self.assertRaises(errors.PoplardrumError) as raised:
            edits.plan_edit(
                self.first,
                config_state.ConfigState(),
                edit(1, change('a.ini', section('other'))),
                BOUNDS,
            )
        self.assertIs(raised.exception.code, errors.Code.key_reused)

    def test_resent_after_history(self) -> None:
        """Guards against a resent edit dropped from the history."""
        bounds = document.Bounds(max_history_edits=3)
        current = self.first
        for number in range(2, 9):
            file = current.files.get('a.ini')
            base = file.number if file else 0
            text = None if number == 2 else section(f'c{number}')
            name = 'a.ini' if number == 2 else f'f{number}.ini'
            current = edits.apply(
                current,
                edit(
                    number,
                    change(name, text, base if number == 2 else 0),
                    read=current.number,
                ),
                bounds,
            )
        self.assertNotIn('a.ini', current.files)
        with self.assertRaises(errors.PoplardrumError) as raised:
            edits.plan_edit(
                current,
                config_state.ConfigState(),
                edit(1, change('a.ini', section('a'))),
                bounds,
            )
        self.assertIs(raised.exception.code, errors.Code.conflict)
        self.assertIs(raised.exception.verdict, errors.Verdict.may_have_run)

    def test_lost_by_store(self) -> None:
        """Guards against a confirmed edit that the store has lost."""
        state = config_state.ConfigState()
        state.record_stored(self.first)
        again = edit(1, change('a.ini', section('a')))
        plan = edits.plan_edit(document.Document(), state, again, BOUNDS)
        self.assertEqual(plan, edits.Plan(self.first, needs_write=True))

    def test_bounds(self) -> None:
        """Guards against documents that exceed the limits."""
        large = edit(2, change('b.ini', f'# {"x" * 200}\n'))
        for bounds in (
            document.Bounds(max_file_bytes=100),
            document.Bounds(max_files=1),
            document.Bounds(max_document_bytes=200),
        ):
            self.refused(errors.Code.too_large, large, bounds)

    def test_malformed(self) -> None:
        """Guards against malformed edits and file names."""
        for name in ('../a.ini', 'a.txt', '.a.ini', 'a b.ini', '', 'a.ini\n'):
            self.refused(
                errors.Code.bad_request,
                edit(2, change(name, section('x'))),
            )
        self.refused(errors.Code.bad_request, edit(2))
        twice = change('b.ini', section('x'))
        self.refused(errors.Code.bad_request, edit(2, twice, twice))
        self.refused(errors.Code.bad_request, edit(2, change('b.ini', None)))

    def test_wrong_content(self) -> None:
        """Guards against invalid rules that reach the store."""
        error = self.refused(
            errors.Code.rules,
            edit(2, change('b.ini', '[class x]\nurgency = high\n')),
        )
        self.assertIn('b.ini:2: [class x] urgency', error.message)

    def test_tenants_of_target_size(self) -> None:
        """Guards against a document of 320 tenants that exceeds the limits."""
        files = [
            change(f't{index}.ini', tenant(f'tenant-{index}', str(index)))
            for index in range(320)
        ]
        stored = edits.apply(document.Document(), edit(1, *files), BOUNDS)
        applied = document.AppliedEdit(ids.EditId('x' * 64), 'x' * 16)
        numbers = (
            ids.ConfigNumber(stored.number + index) for index in range(640)
        )
        stored = document.with_history(
            stored,
            dict.fromkeys(numbers, applied),
            stored.floor,
            BOUNDS.max_history_edits,
        )
        self.assertEqual(len(stored.history), BOUNDS.max_history_edits)
        self.assertLess(
            len(document.encode(stored)), BOUNDS.max_document_bytes / 4
        )


class JoinTest(unittest.TestCase):
    """Guards against edits that are lost when two histories are joined."""

    def grow(
        self,
        base: document.Document,
        number: int,
        name: str,
        text: str | None,
    ) -> document.Document:
        """Return the document after one more edit."""
        file = base.files.get(name)
        request = edit(
            number,
            change(name, text, file.number if file else 0),
        )
        return edits.apply(base, request, BOUNDS)

    def setUp(self) -> None:
        """Start with a document of two files."""
        first = self.grow(document.Document(), 1, 'a.ini', section('a'))
        self.base = self.grow(first, 2, 'b.ini', section('b'))

    def texts(self, joined: document.Document) -> dict[str, str]:
        """Return the texts of a document that has no conflicts."""
        self.assertEqual(joined.conflicts, {})
        return joined.texts()

    def test_numbers_differ(self) -> None:
        """Guards against two successors of a document with one number."""
        numbers = {
            self.grow(self.base, number, 'a.ini', section('x')).number
            for number in range(10, 60)
        }
        self.assertEqual(len(numbers), 50)

    def test_removed_on_one_side(self) -> None:
        """Guards against a removed file that a join restores."""
        one = self.grow(self.base, 3, 'a.ini', None)
        two = self.grow(self.base, 4, 'b.ini', section('c'))
        joined = document.join(one, two, BOUNDS)
        self.assertEqual(self.texts(joined), {'b.ini': section('c')})
        self.assertEqual(joined, document.join(two, one, BOUNDS))

    def test_changed_on_both_sides(self) -> None:
        """Guards against a join that loses an accepted version."""
        one = self.grow(self.base, 3, 'a.ini', section('one'))
        two = self.grow(self.base, 4, 'a.ini', section('two'))
        joined = document.join(one, two, BOUNDS)
        self.assertEqual(
            {file.text for file in document.versions(joined, 'a.ini')},
            {section('one'), section('two')},
        )
        solved = self.grow(joined, 5, 'a.ini', section('both'))
        self.assertEqual(solved.conflicts, {})
        self.assertEqual(document.join(solved, joined, BOUNDS), solved)
        side = self.grow(joined, 6, 'b.ini', section('side'))
        self.assertEqual(
            self.texts(document.join(side, solved, BOUNDS)),
            {'a.ini': section('both'), 'b.ini': section('side')},
        )

    def test_contradiction(self) -> None:
        """Guards against a join with invalid rules."""
        one = self.grow(self.base, 3, 'c.ini', tenant('one', 'same'))
        two = self.grow(self.base, 4, 'd.ini', tenant('two', 'same'))
        joined = document.join(one, two, BOUNDS)
        state = config_state.ConfigState()
        self.assertIs(state.receive(joined), config_state.ReceiveResult.adopted)
        self.assertEqual(len(state.rules.tenants), 1)
        self.assertEqual(len(joined.conflicts), 1)


class HolderTest(unittest.TestCase):
    """Guards against a process that reverts or loses an edit."""

    def test_fork(self) -> None:
        """Guards against a higher number that lacks an edit in force."""
        one, two = (
            edits.apply(
                document.Document(),
                edit(number, change(f'{number}.ini', section('a'))),
                BOUNDS,
            )
            for number in (1, 2)
        )
        state = config_state.ConfigState()
        self.assertIs(state.receive(one), config_state.ReceiveResult.adopted)
        self.assertIs(state.receive(two), config_state.ReceiveResult.fork)
        self.assertEqual(state.number, one.number)
        state.add_fork(two)
        state.record_stored(one)
        self.assertTrue(state.is_store_behind())
        joined = state.target_document(one)
        self.assertIs(
            state.record_stored(joined), config_state.ReceiveResult.adopted
        )
        self.assertFalse(state.is_store_behind())
        self.assertEqual(sorted(state.document.files), ['1.ini', '2.ini'])
        self.assertIs(state.receive(two), config_state.ReceiveResult.known)
