"""Settings of the tests that hypothesis generates."""

import os
import typing

import hypothesis

# Set by `tools.fuzz`: random examples, this many times as many.
FACTOR_VARIABLE: typing.Final = 'POPLARDRUM_FUZZ_FACTOR'
_DEFAULT_EXAMPLES: typing.Final = 100


def settings(**options: typing.Any) -> hypothesis.settings:
    """Return settings whose examples are the same each time, unless fuzzing.

    `options` are those of `hypothesis.settings`.
    """
    factor = int(os.environ.get(FACTOR_VARIABLE, '0'))
    examples = options.pop('max_examples', _DEFAULT_EXAMPLES)
    return hypothesis.settings(
        derandomize=not factor,
        database=None,
        deadline=None,
        max_examples=examples * max(factor, 1),
        **options,
    )
