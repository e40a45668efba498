"""Finds the shared libraries that executables need, and strips symbols."""

import collections.abc
import pathlib
import re
import subprocess

# Libraries of the C library are taken from the machine: its loader and its
# parts only work together, and the launcher has already loaded them.
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
    """Returns the shared libraries that files need, by requested name."""
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
    """Returns the names in an order in which each follows its dependencies.

    A library has fewer transitive dependencies than any library that depends
    on it, so sorting by their number suffices.
    """
    return sorted(
        libraries, key=lambda name: (len(needed_by([libraries[name]])), name)
    )


def stripped(path: pathlib.Path, scratch: pathlib.Path) -> bytes:
    """Returns an executable or library without debugging symbols.

    Args:
        path: An executable or a shared library; it is not changed.
        scratch: A folder for the stripped copy.
    """
    smaller = scratch / path.name
    subprocess.run(
        ["strip", "--strip-unneeded", "-o", str(smaller), str(path)],
        check=True,
    )
    return smaller.read_bytes()
