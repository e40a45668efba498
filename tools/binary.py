"""Builds `dist/nutmeghook`, a single executable that needs no other files.

The reasons for its structure are in docs/design/binary.md.
"""

import collections.abc
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import zipfile

from tools import libraries
from tools import payload

ROOT = pathlib.Path(__file__).resolve().parent.parent
RESULT = ROOT / "dist" / "nutmeghook"
START_MODULE = "embedded_start.py"
LIBRARIES = "libraries/"
COMPILE = ("gcc", "-Os", "-s", "-Wall", "-Wextra", "-Werror", "-o")
COMPILER_PACKAGE = "build-essential"
EXECUTABLE_MODE = 0o755
# Modules that the interpreter imports before zlib is available.
_LIST_STARTUP_MODULES = (
    "import sys, importlib.machinery, os, zipimport;"
    "print(*sys.modules, sep='\\n')"
)
_DECOMPRESSOR = "zlib"
# A fixed date for all entries makes the build reproducible.
_ENTRY_DATE = (1980, 1, 1, 0, 0, 0)


def build(result: pathlib.Path) -> None:
    """Builds the executable.

    Args:
        result: Replaced atomically, so that a running process keeps its file.
    """
    _require_compiler()
    files = payload.collect("nutmeghook", ROOT / "src")
    with tempfile.TemporaryDirectory() as folder:
        scratch = pathlib.Path(folder)
        unfinished = scratch / "result"
        _compile_launcher(unfinished, scratch)
        _append_archive(unfinished, files, scratch)
        result.parent.mkdir(parents=True, exist_ok=True)
        new_file = result.with_suffix(".new")
        shutil.copyfile(unfinished, new_file)
        new_file.chmod(EXECUTABLE_MODE)
        new_file.replace(result)


def _require_compiler() -> None:
    """Installs the C compiler if the machine has none."""
    if shutil.which("gcc") and shutil.which("strip"):
        return
    become_root = [] if os.geteuid() == 0 else ["sudo"]
    for arguments in (["update"], ["install", "-y", COMPILER_PACKAGE]):
        subprocess.run([*become_root, "apt-get", *arguments], check=True)


def _compile_launcher(result: pathlib.Path, scratch: pathlib.Path) -> None:
    """Compiles the launcher around the interpreter.

    Python's machine code is either in the interpreter itself or in a shared
    library, which a small interpreter (interpreter.c) then loads.
    """
    interpreter = pathlib.Path(sys.executable).resolve()
    needed = list(libraries.needed_by([interpreter]).values())
    if not needed:
        embedded = {"python": interpreter}
    elif len(needed) == 1:
        embedded = {
            "python": _compile_interpreter(scratch),
            "library": needed[0],
        }
    else:
        raise libraries.MissingLibraryError(
            f"{interpreter.name} is linked to {len(needed)} libraries, "
            f"{', '.join(str(path) for path in needed)}; build with a Python "
            "that is linked to no library other than its own"
        )
    for name, path in embedded.items():
        content = libraries.stripped(path, scratch)
        (scratch / f"{name}.embedded").write_bytes(content)
    table = scratch / "embedded.S"
    table.write_text(_assembly(list(embedded), scratch))
    launcher = ROOT / "tools" / "launcher.c"
    subprocess.run([*COMPILE, result, launcher, table], check=True)


def _compile_interpreter(scratch: pathlib.Path) -> pathlib.Path:
    """Compiles the interpreter that loads Python's shared library."""
    result = scratch / "interpreter"
    source = ROOT / "tools" / "interpreter.c"
    subprocess.run([*COMPILE, result, source], check=True)
    return result


def _assembly(names: list[str], scratch: pathlib.Path) -> str:
    """Returns assembly for the EMBEDDED table of launcher.c."""
    contents = [
        f'name{i}: .asciz "{name}"\n'
        f'start{i}: .incbin "{scratch}/{name}.embedded"\n'
        f"end{i}:\n"
        for i, name in enumerate(names)
    ]
    entries = [f".quad name{i}, start{i}, end{i}\n" for i in range(len(names))]
    return "".join(
        (
            ".section .rodata\n",
            *contents,
            '.section .data.rel.ro, "aw"\n.balign 8\n',
            ".globl EMBEDDED\nEMBEDDED:\n",
            *entries,
            ".quad 0, 0, 0\n",
            '.section .note.GNU-stack, "", @progbits\n',
        )
    )


def _append_archive(
    result: pathlib.Path,
    files: list[payload.SourceFile],
    scratch: pathlib.Path,
) -> None:
    """Appends all modules as a zip archive, which is read from its end."""
    first = _startup_modules()
    start = payload.SourceFile(
        path=ROOT / "tools" / START_MODULE,
        archive_path=pathlib.PurePath(START_MODULE),
    )
    with zipfile.ZipFile(result, "a") as archive:
        for file in [start, *files]:
            stored = file.module_name.removesuffix(".__init__") in first
            entry = zipfile.ZipInfo(_entry_name(file), _ENTRY_DATE)
            entry.compress_type = (
                zipfile.ZIP_STORED if stored else zipfile.ZIP_DEFLATED
            )
            archive.writestr(entry, _content(file, scratch))
        for number, content in enumerate(_libraries(files, scratch)):
            # Stored uncompressed, since they are read before zlib is loaded.
            # The number gives the load order.
            entry = zipfile.ZipInfo(f"{LIBRARIES}{number:03}", _ENTRY_DATE)
            archive.writestr(entry, content)
        for folder in sorted(payload.namespace_folders(files)):
            archive.writestr(zipfile.ZipInfo(f"{folder}/", _ENTRY_DATE), b"")


def _libraries(
    files: list[payload.SourceFile], scratch: pathlib.Path
) -> collections.abc.Iterator[bytes]:
    """Yields the libraries that compiled modules need, in load order."""
    extensions = [file.path for file in files if file.is_extension]
    needed = libraries.needed_by(extensions)
    for name in libraries.in_load_order(needed):
        yield libraries.stripped(needed[name], scratch)


def _startup_modules() -> set[str]:
    """Returns the modules that must be readable without zlib."""
    listing = subprocess.run(
        [sys.executable, "-PSB", "-Xutf8", "-c", _LIST_STARTUP_MODULES],
        capture_output=True,
        text=True,
        check=True,
    )
    start = pathlib.PurePath(START_MODULE).stem
    return {*listing.stdout.split(), _DECOMPRESSOR, start}


def _entry_name(file: payload.SourceFile) -> str:
    if file.is_extension:
        return f"extensions/{file.module_name}"
    return str(file.archive_path.with_suffix(".pyc"))


def _content(file: payload.SourceFile, scratch: pathlib.Path) -> bytes:
    if file.is_extension:
        return libraries.stripped(file.path, scratch)
    return payload.compiled(file)


def main() -> None:
    """Builds into `dist` and prints the path and size."""
    build(RESULT)
    print(f"built {RESULT.relative_to(ROOT)}: {RESULT.stat().st_size} bytes")


if __name__ == "__main__":
    main()
