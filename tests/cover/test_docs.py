"""Files, commands, metrics, events and settings named in pages exist."""

import pathlib
import re
import unittest

from nutmeghook import cli
from nutmeghook.internal.administration import commands
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.observe import events
from nutmeghook.internal.observe import metrics
from nutmeghook.internal.settings import specs

ROOT = pathlib.Path(__file__).parents[2]
DOCS = ROOT / "docs"
OPERATORS = DOCS / "operators"
SOURCES = ROOT / "src" / "nutmeghook"
LINK = re.compile(r"\]\((?!https?:)([^)#]+)(?:#[^)]*)?\)")
# Paths named in plain text, as in the README.
MENTION = re.compile(r"\bdocs/[\w./-]+\.(?:md|json|png)\b")
# Blocks of code are indented by four spaces or more.
CODE_TEXT = re.compile(r"^ {4,}(.*)$|`([^`]+)`", re.MULTILINE)
COMMAND = re.compile(r"\bnutmeghook ([a-z][a-z_-]*)(?: ([a-z][a-z_-]*))?")
METRIC = re.compile(r"\bnutmeghook_([a-z_]+)\b")
SUFFIXES = re.compile(r"_(?:bucket|sum|count)$")
VARIABLE = re.compile(r"\bNUTMEGHOOK_[A-Z0-9_]+")
FLAG = re.compile(r"--[a-z]+(?:-[a-z0-9]+)+")
CODE = re.compile(r"\b(\d{4}) `([A-Z_]+)`")
EVENT_ROW = re.compile(r"^\| (`[a-z].*?`) \|", re.MULTILINE)
CLIENT_VARIABLES = {"NUTMEGHOOK_ADMIN_URL", "NUTMEGHOOK_TOKEN"}
LOAD_FLAGS = {"--rate-per-s", "--duration-s"}


def operator_texts() -> dict[str, str]:
    """Returns the operators' pages and the README, lines joined."""
    pages = [*sorted(OPERATORS.glob("*.md")), ROOT / "README.md"]
    return {page.name: " ".join(page.read_text().split()) for page in pages}


def commands_in(page: pathlib.Path) -> list[tuple[str, str]]:
    """Returns the commands in a page's code, as methods' names."""
    code = [
        " ".join(pair).strip() for pair in CODE_TEXT.findall(page.read_text())
    ]
    return [
        (name.replace("-", "_"), verb.replace("-", "_"))
        for text in code
        for name, verb in COMMAND.findall(" ".join(text.split()))
    ]


def recorded_events() -> set[str]:
    """Returns the names of the events that some module records."""
    source = "".join(
        path.read_text()
        for path in SOURCES.rglob("*.py")
        if path.name != "events.py"
    )
    return {
        kind.value
        for kind in events.EventKind
        if f"EventKind.{kind.name}" in source
    }


class DocsTest(unittest.TestCase):
    """An operator must not find anything in a page that does not exist."""

    def test_every_linked_or_named_file_exists(self):
        missing = []
        for page in [*sorted(DOCS.rglob("*.md")), ROOT / "README.md"]:
            text = page.read_text()
            paths = [page.parent / link for link in LINK.findall(text)]
            paths += [ROOT / name for name in MENTION.findall(text)]
            missing += [
                f"{page.name}: {path}" for path in paths if not path.exists()
            ]
        self.assertEqual(missing, [])

    def test_every_operators_page_is_in_the_index(self):
        index = (OPERATORS / "README.md").read_text()
        pages = {page.name for page in OPERATORS.glob("*.md")} - {"README.md"}
        self.assertEqual(pages - set(LINK.findall(index)), set())

    def test_every_command_named_exists(self):
        found = 0
        pages = sorted(OPERATORS.glob("*.md"))
        for page in [*pages, ROOT / "README.md", DOCS / "OPERATIONS.md"]:
            for name, verb in commands_in(page):
                found += 1
                with self.subTest(page=page.name, command=f"{name} {verb}"):
                    self.assertTrue(hasattr(cli.Commands, name))
                    if name == "admin" and verb:
                        self.assertTrue(
                            hasattr(commands.AdministrationCommands, verb)
                        )
        self.assertGreater(found, 40)

    def test_every_metric_named_exists(self):
        known = {spec.name for spec in metrics.SPECS}
        for page, text in operator_texts().items():
            for name in METRIC.findall(text):
                with self.subTest(page=page, metric=name):
                    self.assertIn(SUFFIXES.sub("", name), known)

    def test_every_metric_is_on_the_alarms_page(self):
        named = set(METRIC.findall((OPERATORS / "alarms.md").read_text()))
        self.assertEqual({spec.name for spec in metrics.SPECS} - named, set())

    def test_every_event_of_the_alarms_is_recorded_somewhere(self):
        text = (OPERATORS / "alarms.md").read_text().split("## Events")[1]
        cells = EVENT_ROW.findall(text)
        named = {
            name for cell in cells for name in cell.strip("`").split("`, `")
        }
        self.assertGreater(len(named), 10)
        self.assertEqual(named - recorded_events(), set())

    def test_every_setting_named_exists(self):
        flags = {spec.flag for spec in specs.SERVE_SPECS} | LOAD_FLAGS
        variables = {s.variable for s in specs.SERVE_SPECS} | CLIENT_VARIABLES
        for page, text in operator_texts().items():
            with self.subTest(page=page):
                self.assertEqual(set(FLAG.findall(text)) - flags, set())
                named = set(VARIABLE.findall(text)) - {"NUTMEGHOOK_"}
                self.assertEqual(named - variables, set())

    def test_every_result_code_named_has_its_number(self):
        known = {(str(code.number), code.name) for code in codes.Code}
        for page, text in operator_texts().items():
            with self.subTest(page=page):
                self.assertEqual(set(CODE.findall(text)) - known, set())
