"""Plain text tables for the command line."""

import typing

Row = typing.Sequence[typing.Any]


def format_table(header: Row, rows: typing.Iterable[Row]) -> str:
    """Return rows under a header as text; numbers are right-aligned."""
    cells = [[_format_cell(cell) for cell in row] for row in (header, *rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return '\n'.join(_format_row(row, widths) for row in cells)


def _format_row(row: list[str], widths: list[int]) -> str:
    padded = [
        cell.rjust(width) if _is_number(cell) else cell.ljust(width)
        for cell, width in zip(row, widths, strict=True)
    ]
    return '  '.join(padded).rstrip()


def _is_number(cell: str) -> bool:
    return cell.replace('.', '', 1).replace('-', '', 1).isdecimal()


def _format_cell(cell: typing.Any) -> str:
    if isinstance(cell, bool):
        return 'yes' if cell else 'no'
    return f'{cell:.3f}' if isinstance(cell, float) else str(cell)
