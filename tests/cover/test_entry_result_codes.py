"""The page of result codes matches the code."""

import pathlib
import unittest

from nutmeghook.internal.foundation import codes

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "RESULT_CODES.md"


class ResultCodesTest(unittest.TestCase):
    def test_each_code_has_its_row_and_no_row_is_left_over(self):
        rows = [
            tuple(cell.strip() for cell in line.strip("|").split("|"))
            for line in PAGE.read_text().splitlines()
            if line.startswith("| ") and line[2].isdigit()
        ]
        expected = [
            (
                str(code.number),
                f"`{code.name}`",
                str(code.http_status),
                f"`{code.run_state.value}`",
                code.meaning,
            )
            for code in codes.Code
        ]
        self.assertEqual(rows, expected)
