"""Writes the table of docs/SETTINGS.md."""

from nutmeghook.internal.settings import specs

_HEAD = """# Settings of `nutmeghook serve`

Each setting is a flag or an environment variable; the flag wins. All faults
are reported at once, before anything starts: `nutmeghook check-settings`
does only that, `--print-settings` shows what is in force with secrets masked.
A test checks this page against the code (`python -m
nutmeghook.internal.settings.page` writes it).

| flag | variable | kind | default | meaning |
| --- | --- | --- | --- | --- |
"""


def page() -> str:
    """Returns the whole page."""
    rows = []
    for spec in specs.SERVE_SPECS:
        default = "(must be given)" if spec.default is None else spec.default
        kind = spec.kind.value
        if spec.kind is specs.Kind.COUNT:
            kind = f"{kind}, {spec.minimum} to {spec.maximum}"
        if spec.secret:
            kind += ", secret"
        rows.append(
            f"| `{spec.flag}` | `{spec.variable}` | {kind} |"
            f" {default or '(empty)'} | {spec.meaning} |\n"
        )
    return _HEAD + "".join(rows)


if __name__ == "__main__":
    print(page(), end="")
