"""What is installed in target/deps, and for which machine.

A record lists the requirements, the interpreter and machine that the wheels were chosen for, and
every installed file.  It lies in the folder that it describes, so that neither can be kept without
the other.
"""

import json
import pathlib
import platform
import sys
import sysconfig
from dataclasses import asdict, dataclass

RECORD_NAME = "installed.json"
BYTECODE_FOLDER = "__pycache__"


@dataclass(frozen=True)
class Installation:
    """`environment` identifies the interpreter and machine; `sizes` maps the relative path of each
    installed file, bytecode excepted, to its size in bytes."""

    requirements: list[str]
    environment: str
    sizes: dict[str, int]


def current_environment() -> str:
    """The interpreter's version and ABI, the architecture and the C library of this machine."""
    libc, _ = platform.libc_ver()
    return " ".join((str(sys.implementation.cache_tag), sysconfig.get_platform(), libc))


def describe(folder: pathlib.Path, requirements: list[str]) -> Installation:
    """The Installation of the files that are in the folder now."""
    sizes = {
        str(path.relative_to(folder)): path.stat().st_size
        for path in sorted(folder.rglob("*"))
        if path.is_file() and BYTECODE_FOLDER not in path.parts
    }
    return Installation(requirements, current_environment(), sizes)


def save(folder: pathlib.Path, installation: Installation) -> None:
    """Writes the record of a complete installation."""
    (folder / RECORD_NAME).write_text(json.dumps(asdict(installation)))


def is_complete(folder: pathlib.Path, requirements: list[str]) -> bool:
    """Whether the folder holds these requirements, whole, for this interpreter and machine."""
    try:
        found = Installation(**json.loads((folder / RECORD_NAME).read_text()))
    except (OSError, ValueError, TypeError):
        return False
    if (found.requirements, found.environment) != (requirements, current_environment()):
        return False
    return all(has_size(folder / name, size) for name, size in found.sizes.items())


def has_size(path: pathlib.Path, size: int) -> bool:
    """Whether the file exists and has this size in bytes."""
    try:
        return path.stat().st_size == size
    except OSError:
        return False
