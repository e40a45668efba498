"""The file form of a configuration, and its JSON schema."""

import msgspec

from nutmeghook.internal.config import documents


class ConfigurationFile(msgspec.Struct, frozen=True, kw_only=True):
    """Documents to put in force together; what is left out stays as it is."""

    fleet: documents.Fleet | None = None
    teams: tuple[documents.Team, ...] = ()
    templates: tuple[documents.Template, ...] = ()


def configuration_file_schema() -> str:
    """Returns the JSON schema as indented text."""
    schema = msgspec.json.schema(ConfigurationFile)
    encoded = msgspec.json.encode(schema, order="deterministic")
    return msgspec.json.format(encoded).decode()
