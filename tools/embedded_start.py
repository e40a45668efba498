"""The first Python code that `dist/nutmeghook` runs.

It may import only what the interpreter itself has loaded before: until the
finder below is there, every other module would miss its compiled part and,
where it has a slow substitute in Python, keep that for good.
"""

import _imp
import importlib.machinery
import os
import sys
import zipimport

EXTENSIONS = "extensions/"
EXIT_NOT_INCLUDED = 2
MAX_LIBRARIES = 1000
LIBRARIES = "libraries/"
_LAUNCHER_VARIABLES = (
    "NUTMEGHOOK_PYTHON_LIBRARY",
    "PYTHONHOME",
    "PYTHONPATH",
)


class EmbeddedExtensionFinder:
    """Finds compiled modules in the archive and loads them from memory.

    Not derived from importlib.abc: importing that needs compiled modules.
    """

    __slots__ = ("_archive",)

    def __init__(self, *, archive: zipimport.zipimporter):
        self._archive = archive

    def find_spec(
        self, fullname: str, path: object, target: object = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Returns how to load a module, or None if it is not one of ours."""
        try:
            content = self._archive.get_data(EXTENSIONS + fullname)
        except OSError:
            return None
        origin = _memory_file(fullname, content)
        loader = importlib.machinery.ExtensionFileLoader(fullname, origin)
        spec = importlib.machinery.ModuleSpec(fullname, loader, origin=origin)
        spec.has_location = True
        return spec


def _memory_file(name: str, content: bytes) -> str:
    """Returns the path of a file that is only in memory.

    The descriptor stays open on purpose. The dynamic loader knows libraries
    by their path; were the number used again, the next module would get the
    library that was loaded first under that path.
    """
    descriptor = os.memfd_create(name)
    with os.fdopen(descriptor, "wb", closefd=False) as file:
        file.write(content)
    return f"/proc/self/fd/{descriptor}"


def _load_libraries(archive: zipimport.zipimporter) -> None:
    """Loads the shared libraries that compiled modules need.

    The dynamic loader takes a library that is loaded already for every later
    need of the same name, so it does not look at the machine's own. Without
    this, a machine with another version of one could fail to start us.
    """
    for number in range(MAX_LIBRARIES):
        name = f"{LIBRARIES}{number:03}"
        try:
            content = archive.get_data(name)
        except OSError:
            return
        _load_library(_memory_file(name, content))


def _load_library(path: str) -> None:
    """Loads a shared library that is no Python module.

    The interpreter opens it, finds no module in it and leaves it open.
    """
    loader = importlib.machinery.ExtensionFileLoader("library", path)
    spec = importlib.machinery.ModuleSpec("library", loader, origin=path)
    try:
        _imp.create_dynamic(spec)
    except ImportError as error:
        if "does not define module export function" not in str(error):
            raise


def _name_process() -> None:
    # Else `ps` and `top` show the number of a descriptor.
    with open("/proc/self/comm", "w") as name:
        name.write("nutmeghook")


def _main() -> None:
    archive_path = sys.path[0]
    sys.path[:] = [archive_path]
    for variable in _LAUNCHER_VARIABLES:
        os.environ.pop(variable, None)
    archive = zipimport.zipimporter(archive_path)
    _load_libraries(archive)
    finder = EmbeddedExtensionFinder(archive=archive)
    sys.meta_path.append(finder)
    _name_process()
    # At a terminal fire shows help through the program that PAGER names; this
    # value keeps to its own pages, so that no process is started.
    os.environ["PAGER"] = "-"
    sys.argv[0] = "nutmeghook"
    if sys.argv[1:2] == ["demo"]:
        print(
            "the demo starts many processes of the source tree and is not in "
            "this file: run `make demo` in a clone of the repository",
            file=sys.stderr,
        )
        sys.exit(EXIT_NOT_INCLUDED)
    cli = importlib.import_module("nutmeghook.cli")
    cli.main()


_main()
