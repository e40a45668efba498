"""The first Python code that `dist/nutmeghook` runs.

It may import only modules that the interpreter has already loaded. Until the
finder below is installed, any other module would fail to import its compiled
part, and would keep its slower Python fallback where it has one.
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
    """Finds extension modules in the archive and loads them from memory.

    Not derived from importlib.abc, whose import needs extension modules.
    """

    __slots__ = ("_archive",)

    def __init__(self, *, archive: zipimport.zipimporter):
        self._archive = archive

    def find_spec(
        self, fullname: str, path: object, target: object = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Returns the spec of a module, or None if it is not in the archive."""
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
    """Writes an in-memory file and returns its path.

    The descriptor is deliberately left open. The dynamic loader identifies
    libraries by path; if the number were reused, the next module would get
    the library that was loaded first under that path.
    """
    descriptor = os.memfd_create(name)
    with os.fdopen(descriptor, "wb", closefd=False) as file:
        file.write(content)
    return f"/proc/self/fd/{descriptor}"


def _load_libraries(archive: zipimport.zipimporter) -> None:
    """Loads the shared libraries that compiled modules need.

    The dynamic loader uses an already loaded library for every later request
    of the same name, so the machine's own copy is not used. A different
    version on the machine could otherwise prevent the start.
    """
    for number in range(MAX_LIBRARIES):
        name = f"{LIBRARIES}{number:03}"
        try:
            content = archive.get_data(name)
        except OSError:
            return
        _load_library(_memory_file(name, content))


def _load_library(path: str) -> None:
    """Loads a shared library that is not a Python module.

    The interpreter opens it, fails to find a module in it and leaves it open.
    """
    loader = importlib.machinery.ExtensionFileLoader("library", path)
    spec = importlib.machinery.ModuleSpec("library", loader, origin=path)
    try:
        _imp.create_dynamic(spec)
    except ImportError as error:
        if "does not define module export function" not in str(error):
            raise


def _name_process() -> None:
    # `ps` and `top` would otherwise show a descriptor number.
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
    # At a terminal, fire shows help in the program that PAGER names; with "-"
    # it uses its built-in pager and starts no process.
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
