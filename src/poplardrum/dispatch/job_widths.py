"""Classes of jobs by their number of tasks, for metrics."""

import typing

_WIDTH_CLASSES: typing.Final = (
    (2, '1-2'),
    (4, '3-4'),
    (8, '5-8'),
    (16, '9-16'),
)
_WIDEST: typing.Final = '17+'


def label(tasks: int) -> str:
    """Return the class of a number of tasks."""
    for highest, class_label in _WIDTH_CLASSES:
        if tasks <= highest:
            return class_label
    return _WIDEST
