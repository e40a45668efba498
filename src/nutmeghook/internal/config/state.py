"""The whole configuration with the revision of each document."""

import msgspec

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import edits
from nutmeghook.internal.config import rows


class ConfigState(msgspec.Struct, frozen=True, kw_only=True):
    """A snapshot, and the revision at which each document was last replaced.

    Attributes:
        document_revisions: By document name; removed documents are absent.
    """

    snapshot: documents.Snapshot
    document_revisions: dict[str, int]

    @property
    def revision(self) -> int:
        """The revision of the whole configuration."""
        return self.snapshot.revision

    def revision_of(self, document: str) -> int:
        """Returns a document's revision; 0 if there is none."""
        return self.document_revisions.get(document, 0)

    def document(
        self, name: str
    ) -> documents.Fleet | documents.Team | documents.Template | None:
        """Returns a document by its name, for example `team/agency`."""
        if name == edits.FLEET_DOCUMENT:
            return self.snapshot.fleet if self.revision_of(name) else None
        kind, _, rest = name.partition("/")
        if kind == "team":
            return self.snapshot.teams.get(rest)
        if kind == "template":
            return self.snapshot.templates.get(rest)
        return None

    def with_replacement(
        self, replacement: edits.Replacement, *, revision: int
    ) -> "ConfigState":
        """Returns the state with the documents replaced."""
        teams = dict(self.snapshot.teams)
        templates = dict(self.snapshot.templates)
        for team in replacement.teams:
            teams[team.name] = team
        for template in replacement.templates:
            key = documents.template_key(template.team, template.name)
            templates[key] = template
        for removed in replacement.removed_templates:
            key = documents.template_key(removed.team, removed.name)
            templates.pop(key, None)
        fleet = replacement.fleet
        return ConfigState(
            snapshot=documents.Snapshot(
                revision=revision,
                fleet=self.snapshot.fleet if fleet is None else fleet,
                teams=teams,
                templates=templates,
            ),
            document_revisions=self._revisions(replacement, revision),
        )

    def with_change(self, change: rows.Change) -> "ConfigState":
        """Returns the state after the next change.

        Raises:
            ValueError: The change is not the next one.
        """
        if change.revision != self.revision + 1:
            raise ValueError(
                f"change.revision is {change.revision}; after "
                f"{self.revision} only {self.revision + 1} can follow"
            )
        return self.with_replacement(
            change.replacement, revision=change.revision
        )

    def _revisions(
        self, replacement: edits.Replacement, revision: int
    ) -> dict[str, int]:
        revisions = dict(self.document_revisions)
        for document in replacement.documents():
            revisions[document] = revision
        for removed in replacement.removed_templates:
            document = edits.template_document(removed.team, removed.name)
            revisions.pop(document, None)
        return revisions


EMPTY_STATE = ConfigState(
    snapshot=documents.EMPTY_SNAPSHOT, document_revisions={}
)


def document_in(
    change: rows.Change | None, name: str
) -> documents.Fleet | documents.Team | documents.Template | None:
    """Returns the document of this name that a change wrote, if any."""
    if change is None:
        return None
    written = EMPTY_STATE.with_replacement(
        change.replacement, revision=change.revision
    )
    return written.document(name)
