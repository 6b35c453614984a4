"""Plain text tables for the command line."""

import typing

Row = typing.Sequence[typing.Any]


def table(header: Row, rows: typing.Iterable[Row]) -> str:
    """Return rows under a header; numbers are aligned to the right."""
    cells = [[_text(cell) for cell in row] for row in (header, *rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return '\n'.join(_line(row, widths) for row in cells)


def _line(row: list[str], widths: list[int]) -> str:
    padded = [
        cell.rjust(width) if _is_number(cell) else cell.ljust(width)
        for cell, width in zip(row, widths, strict=True)
    ]
    return '  '.join(padded).rstrip()


def _is_number(cell: str) -> bool:
    return cell.replace('.', '', 1).replace('-', '', 1).isdecimal()


def _text(cell: typing.Any) -> str:
    if isinstance(cell, bool):
        return 'yes' if cell else 'no'
    return f'{cell:.3f}' if isinstance(cell, float) else str(cell)
