"""Tables with aligned columns."""

from collections.abc import Sequence

from nutmeghook.internal.observe import record_text

EMPTY_CELL = "-"


def text_lines(rows: Sequence[Sequence[str]]) -> list[str]:
    """Returns rows of cells, headings among them, as lines of text."""
    cells = [[record_text.printable(cell) for cell in row] for row in rows]
    widths = [
        max(len(cell) for cell in column) for column in zip(*cells, strict=True)
    ]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]
