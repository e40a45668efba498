"""The `nutmeghook admin` commands that change nothing."""

from nutmeghook.internal.administration import arguments
from nutmeghook.internal.administration import command_runner
from nutmeghook.internal.administration import rendering
from nutmeghook.internal.config import schema as schema_module


class ReadOnlyCommands(command_runner.CommandRunner):
    """Shows the configuration in force, changes and their outcomes."""

    __slots__ = ()

    @command_runner.command
    def status(self) -> None:
        """Shows what is in force where, roll-outs, and what needs attention."""
        self._show(lambda c: c.status(), rendering.status)

    @command_runner.command
    def bills(self) -> None:
        """Shows what each team's requests used and cost, each billed once.

        For administrators. Reads all retained bills, wherever they are stored.
        """
        self._show(lambda c: c.usage(), rendering.usage)

    @command_runner.command
    def list(self) -> None:
        """Lists the documents with their revisions."""
        self._show(lambda c: c.list_documents(), rendering.documents)

    @command_runner.command
    def show(self, document: str) -> None:
        """Prints a document; `put` takes the printed form back.

        Args:
            document: For example template/agency/dossier.
        """
        self._show(
            lambda c: c.document(arguments.document(document)),
            rendering.document,
        )

    @command_runner.command
    def history(
        self, document: str = "", before: str = "0", limit: str = "20"
    ) -> None:
        """Lists accepted changes, newest first.

        Args:
            document: Only changes of this document.
            before: Only changes below this revision.
            limit: The most to list.
        """
        self._show(
            lambda c: c.history(
                document=arguments.document(document) if document else "",
                before=arguments.whole_number(before, "before"),
                limit=arguments.whole_number(limit, "limit"),
            ),
            rendering.history,
        )

    @command_runner.command
    def change(self, revision: str) -> None:
        """Shows field by field what an accepted change changed.

        Args:
            revision: As listed by `history`.
        """
        number = arguments.whole_number(revision, "revision")
        self._show(lambda c: c.change(number), rendering.change)

    @command_runner.command
    def outcome(self, operation_id: str) -> None:
        """Makes a change's outcome final and shows it: accepted, or not.

        Args:
            operation_id: As printed when the change was requested.
        """
        self._show(lambda c: c.settle(operation_id), rendering.operation)

    @command_runner.command
    def draft(self, file: str) -> None:
        """Checks a file as `put` would, without changing anything.

        Args:
            file: What `show` printed, edited; `-` for standard input.
        """
        self._show(
            lambda c: c.draft(arguments.edit_in_file(file)), rendering.draft
        )

    @command_runner.command
    def schema(self) -> None:
        """Prints the JSON schema of a configuration file."""
        print(schema_module.configuration_file_schema())
