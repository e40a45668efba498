"""Parses the arguments of the `nutmeghook admin` commands."""

import pathlib
import sys
from typing import TypeVar

import msgspec

from nutmeghook.internal.administration import bodies
from nutmeghook.internal.administration import status as status_module
from nutmeghook.internal.config import documents
from nutmeghook.internal.config import edits
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import errors

_T = TypeVar("_T")
_TRUE = ("true", "1", "yes")
_TEMPLATE_KIND = "template"


class UsageError(Exception):
    """An argument is invalid; the message says what to give."""


def is_true(text: str) -> bool:
    """Parses a switch; a flag without a value counts as set."""
    return text.lower() in _TRUE


def whole_number(text: str, name: str) -> int:
    """Parses a whole number that is 0 or more."""
    if not text.isascii() or not text.isdigit():
        raise UsageError(f"{name} is {text!r}; give a whole number")
    return int(text)


def share_percent(text: str) -> float:
    """Parses a share in percent."""
    try:
        return float(text)
    except ValueError as error:
        raise UsageError(
            f"share_percent is {text!r}; give a number from 0 to 100"
        ) from error


def model_version(text: str) -> engine.ModelVersion:
    """Parses `MODEL@VERSION`."""
    try:
        return engine.ModelVersion.parse(text)
    except ValueError as error:
        raise UsageError(str(error)) from error


def role(text: str) -> documents.Role:
    """Parses a role's name."""
    try:
        return documents.Role(text.lower())
    except ValueError as error:
        names = ", ".join(known.value for known in documents.Role)
        raise UsageError(f"role is {text!r}; give one of {names}") from error


def document(text: str) -> str:
    """Returns a document's full name; `TEAM/NAME` is a template."""
    parts = text.split("/")
    if text == edits.FLEET_DOCUMENT or parts[0] in ("team", _TEMPLATE_KIND):
        return text
    return edits.template_document(*team_and_name(text))


def team_and_name(text: str) -> tuple[str, str]:
    """Splits `TEAM/NAME`, with or without `template/` before it."""
    parts = text.removeprefix(f"{_TEMPLATE_KIND}/").split("/")
    if len(parts) != 2 or not all(parts):
        raise UsageError(f"template is {text!r}; write it as TEAM/NAME")
    return parts[0], parts[1]


def read_file(path: str, content_type: type[_T]) -> _T:
    """Reads a JSON file, rejecting unknown fields; `-` is standard input."""
    if path == "-":
        content = sys.stdin.buffer.read()
    else:
        content = pathlib.Path(path).read_bytes()
    try:
        return bodies.decode(content, content_type)
    except errors.CodedError as error:
        raise UsageError(f"{path}: {error.detail}") from error


def edit_in_file(path: str) -> edits.Edit:
    """Returns the edit that puts a document printed by `show` in force."""
    read = read_file(path, bodies.DocumentAnswer)
    if read.fleet is not None:
        return edits.PutFleet(fleet=read.fleet, expected_revision=read.revision)
    if read.team is not None:
        return edits.PutTeam(team=read.team, expected_revision=read.revision)
    if read.template is not None:
        return edits.PutTemplate(
            template=read.template, expected_revision=read.revision
        )
    raise UsageError(
        f"{path} holds none of fleet, team and template; start from what "
        f"`show` prints"
    )


def with_parameters(
    template: documents.Template, parameters: dict[str, str]
) -> documents.Template:
    """Returns a template with some parameters set from their JSON text."""
    if not parameters:
        raise UsageError("give a parameter, for example --quality_target=0.9")
    plain = msgspec.to_builtins(template)
    for name, text in parameters.items():
        if name not in plain:
            raise UsageError(
                f"{name} is no parameter of a template; there are "
                f"{', '.join(sorted(plain))}"
            )
        value = _json_or_text(text)
        if isinstance(value, dict) and isinstance(plain[name], dict):
            value = plain[name] | value
        plain[name] = value
    try:
        return bodies.decode(msgspec.json.encode(plain), documents.Template)
    except errors.CodedError as error:
        raise UsageError(error.detail) from error


def next_share_percent(
    template: documents.Template, named: engine.ModelVersion
) -> float:
    """Returns the next step of a version's roll-out."""
    for stage in template.stages:
        for entry in stage.versions:
            found = (stage.model, entry.version)
            if found == (named.model, named.version):
                return status_module.next_step_percent(
                    template.roll_out, entry.share_percent
                )
    raise UsageError(f"template {template.name} does not name {named}")


def _json_or_text(text: str) -> object:
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError:
        return text
