"""Collects the Python modules that go into the one-file build."""

import collections.abc
import dataclasses
import importlib.machinery
import importlib.metadata
import importlib.util
import marshal
import pathlib
import sysconfig
import types

from packaging import requirements

# Not needed to serve or administer; they would double the size.
EXCLUDED_FOLDERS = frozenset(
    (
        "__pycache__",
        "curses",
        "dbm",
        "dist-packages",
        "distutils",
        "ensurepip",
        "idlelib",
        "lib2to3",
        "pydoc_data",
        "site-packages",
        "sqlite3",
        "test",
        "tests",
        "tkinter",
        "turtledemo",
        "venv",
    )
)
# Extension modules of the standard library that are tests, or that need a
# shared library which this project does not use.
EXCLUDED_EXTENSIONS = (
    "_crypt",
    "_ctypes_test",
    "_curses",
    "_dbm",
    "_gdbm",
    "_sqlite3",
    "_test",
    "_tkinter",
    "_xx",
    "nis",
    "ossaudiodev",
    "readline",
    "xx",
)
_EXTENSION_SUFFIXES = tuple(importlib.machinery.EXTENSION_SUFFIXES)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class SourceFile:
    """One module, or the code of one package.

    Attributes:
        path: Path on the build machine.
        archive_path: Path in the archive, relative to the module root.
    """

    path: pathlib.Path
    archive_path: pathlib.PurePath

    @property
    def is_extension(self) -> bool:
        """Whether it is an extension module."""
        return self.path.name.endswith(_EXTENSION_SUFFIXES)

    @property
    def module_name(self) -> str:
        """The dotted name under which it is imported."""
        bare = self.archive_path.name.split(".")[0]
        return ".".join((*self.archive_path.parent.parts, bare))


def collect(project: str, source: pathlib.Path) -> list[SourceFile]:
    """Lists the modules of a project, its requirements and the stdlib.

    Args:
        project: The distribution whose requirements are followed.
        source: The folder that holds its packages.
    """
    files = list(_standard_library())
    for name in sorted(_transitive_requirements(project) - {project}):
        files.extend(_distribution_files(name))
    files.extend(_tree(source))
    return sorted(files, key=lambda file: file.archive_path)


def namespace_folders(
    files: collections.abc.Iterable[SourceFile],
) -> set[pathlib.PurePath]:
    """Returns the folders of namespace packages.

    zipimport finds such a package (zope, for example) only if the archive has
    an entry for its folder.
    """
    archive_paths = {file.archive_path for file in files}
    folders = {
        folder
        for archive_path in archive_paths
        for folder in archive_path.parents
    }
    folders.discard(pathlib.PurePath())
    return {f for f in folders if f / "__init__.py" not in archive_paths}


def compiled(file: SourceFile) -> bytes:
    """Returns the content of a `.pyc` file without build machine paths.

    The header disables the comparison with the source, which does not exist
    at run time.
    """
    code = compile(
        file.path.read_bytes(),
        str(file.archive_path),
        "exec",
        dont_inherit=True,
    )
    return _pyc(code)


def _pyc(code: types.CodeType) -> bytes:
    unchecked_hash_flags = (1).to_bytes(4, "little")
    no_hash = bytes(8)
    return (
        importlib.util.MAGIC_NUMBER
        + unchecked_hash_flags
        + no_hash
        + marshal.dumps(code)
    )


def _standard_library() -> collections.abc.Iterator[SourceFile]:
    yield from _tree(pathlib.Path(sysconfig.get_path("stdlib")))
    extensions = pathlib.Path(sysconfig.get_config_var("DESTSHARED"))
    for path in extensions.glob("*.so"):
        if not path.name.startswith(EXCLUDED_EXTENSIONS):
            yield SourceFile(
                path=path, archive_path=pathlib.PurePath(path.name)
            )


def _tree(folder: pathlib.Path) -> collections.abc.Iterator[SourceFile]:
    for path in folder.rglob("*.py"):
        archive_path = path.relative_to(folder)
        if EXCLUDED_FOLDERS.isdisjoint(archive_path.parts):
            yield SourceFile(path=path, archive_path=archive_path)


def _distribution_files(name: str) -> collections.abc.Iterator[SourceFile]:
    distribution = importlib.metadata.distribution(name)
    for file in distribution.files or ():
        archive_path = pathlib.PurePath(file)
        wanted = file.name.endswith((".py", *_EXTENSION_SUFFIXES))
        if wanted and EXCLUDED_FOLDERS.isdisjoint(archive_path.parts):
            yield SourceFile(
                path=pathlib.Path(distribution.locate_file(file)),
                archive_path=archive_path,
            )


def _transitive_requirements(project: str) -> set[str]:
    """Returns a project and its transitive requirements, without extras."""
    found: set[str] = set()
    pending = [project]
    while pending:
        name = pending.pop().lower().replace("_", "-")
        if name in found:
            continue
        found.add(name)
        for line in importlib.metadata.requires(name) or ():
            needed = requirements.Requirement(line)
            marker = needed.marker
            if marker is None or marker.evaluate({"extra": ""}):
                pending.append(needed.name)
    return found
