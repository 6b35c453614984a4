"""Run the unittest suite and print the total counts as the last line.

Modules run in parallel in worker processes, as they spend most of their time
waiting for the processes under test; some run alone after the others. Tests
listed in KNOWN-RED.txt are not run; their ids are printed.
"""

import concurrent.futures
import io
import os
import pathlib
import sys
import typing
import unittest

_ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent
_KNOWN_RED_FILE: typing.Final = _ROOT / 'KNOWN-RED.txt'
_MAX_PROCESSES: typing.Final = 4
# Modules whose load disturbs others, or which measure memory.
_ALONE: typing.Final = ('tests.test_client_crowds',)


class ModuleResult(typing.NamedTuple):
    """Counts and report of one test module."""

    module: str
    passed: int
    failed: int
    skipped: int
    report: str


def read_known_red() -> frozenset[str]:
    """Return the ids of tests listed in KNOWN-RED.txt (`test: ID`)."""
    if not _KNOWN_RED_FILE.exists():
        return frozenset()
    lines = _KNOWN_RED_FILE.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.partition(':')[2].strip()
        for line in lines
        if line.startswith('test:')
    )


def iter_tests(suite: unittest.TestSuite) -> typing.Iterator[unittest.TestCase]:
    """Yield the test cases of a suite and its nested suites."""
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from iter_tests(test)
        else:
            yield test


def run_module(module: str) -> ModuleResult:
    """Run the tests of one module except known failures."""
    known_red = read_known_red()
    loaded = unittest.defaultTestLoader.loadTestsFromName(module)
    tests = list(iter_tests(loaded))
    selected = [test for test in tests if test.id() not in known_red]
    stream = io.StringIO()
    runner = unittest.TextTestRunner(stream=stream, verbosity=1)
    outcome = runner.run(unittest.TestSuite(selected))
    failed = len(
        {test.id() for test, _ in (*outcome.failures, *outcome.errors)}
    )
    skipped = len(outcome.skipped) + len(tests) - len(selected)
    passed = len(tests) - failed - skipped
    return ModuleResult(module, passed, failed, skipped, stream.getvalue())


def find_modules(arguments: list[str]) -> list[str]:
    """Return the named test modules, or all if none is named."""
    if arguments:
        return arguments
    return sorted(
        '.'.join(path.relative_to(_ROOT).with_suffix('').parts)
        for path in (_ROOT / 'tests').rglob('test_*.py')
    )


def main() -> int:
    """Run the modules; return 1 if a test failed or none passed."""
    sys.path.insert(0, str(_ROOT))
    modules = find_modules(sys.argv[1:])
    workers = min(_MAX_PROCESSES, os.cpu_count() or 1)
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        parallel = [module for module in modules if module not in _ALONE]
        results = list(pool.map(run_module, parallel))
        for module in modules:
            if module in _ALONE:
                results.append(pool.submit(run_module, module).result())
    for result in results:
        print(
            f'{result.module}: {result.passed} passed, {result.failed} failed',
        )
        if result.failed:
            print(result.report)
    for test in sorted(read_known_red()):
        print(f'known red, passed over: {test}')
    passed = sum(result.passed for result in results)
    failed = sum(result.failed for result in results)
    skipped = sum(result.skipped for result in results)
    print(f'{passed} passed, {failed} failed, {skipped} skipped')
    return int(failed > 0 or passed == 0)


if __name__ == '__main__':
    sys.exit(main())
