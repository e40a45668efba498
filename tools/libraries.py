"""Finds the shared libraries that machine code needs, and makes it small."""

import collections.abc
import pathlib
import re
import subprocess

# The C library belongs to the machine: its loader and its parts only work
# with each other, and the launcher has the machine's loaded already.
SYSTEM_LIBRARIES = re.compile(
    r"(ld-linux|libc\.|libm\.|libdl\.|librt\.|libpthread\.|libutil\.|"
    r"libresolv\.)"
)
_NEEDED = re.compile(r"^\s*(\S+) => (\S+)", re.MULTILINE)


class MissingLibraryError(RuntimeError):
    """A file needs a library that this machine does not have."""


def needed_by(
    files: collections.abc.Iterable[pathlib.Path],
) -> dict[str, pathlib.Path]:
    """Returns the libraries that files need, by the names they ask for."""
    found: dict[str, pathlib.Path] = {}
    listing = subprocess.run(
        ["ldd", *map(str, files)], capture_output=True, text=True, check=True
    )
    for name, location in _NEEDED.findall(listing.stdout):
        if SYSTEM_LIBRARIES.match(name):
            continue
        if location == "not":
            raise MissingLibraryError(
                f"{name} is not on this machine; install the package that "
                "holds it and build again"
            )
        found[name] = pathlib.Path(location).resolve()
    return found


def in_load_order(libraries: dict[str, pathlib.Path]) -> list[str]:
    """Returns the names so that each comes after those it needs itself.

    All that a library needs is needed by whatever needs the library, so it
    needs fewer.
    """
    return sorted(
        libraries, key=lambda name: (len(needed_by([libraries[name]])), name)
    )


def stripped(path: pathlib.Path, scratch: pathlib.Path) -> bytes:
    """Returns machine code without what only a debugger reads.

    Args:
        path: An executable or a shared library; it is not changed.
        scratch: A folder for the smaller copy.
    """
    smaller = scratch / path.name
    subprocess.run(
        ["strip", "--strip-unneeded", "-o", str(smaller), str(path)],
        check=True,
    )
    return smaller.read_bytes()
