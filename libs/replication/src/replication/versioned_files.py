"""Small files that are replaced atomically, each version under its own number.

A new version is written to a temporary file, synced and renamed, and the folder is synced;
only then are older versions removed.  After a crash at any step the newest version is complete.
"""

import os
import struct
import zlib

from transport import failures

__all__ = ["TEMPORARY_SUFFIX", "DiskError", "load", "save", "sync_file", "sync_folder"]

TEMPORARY_SUFFIX = ".aside"


class DiskError(Exception):
    """The data folder can't be used; `failure` is the cause."""

    def __init__(self, failure):
        super().__init__(failure.tag)
        self.failure = failure


def sync_folder(folder):
    """Sync a folder, so that created, renamed and removed names are durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def sync_file(path):
    """Make the content of a file durable."""
    descriptor = os.open(path, os.O_RDWR)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _versions(folder, name):
    versions = {}
    for path in folder.glob(name + ".v*"):
        suffix = path.name[len(name) + 2 :]
        if suffix.isdigit():
            versions[int(suffix)] = path
    return versions


def save(folder, name, body):
    """Write a new version of a file, durable on return, and remove the older versions."""
    old_versions = _versions(folder, name)
    number = max(old_versions, default=0) + 1
    temporary = folder / f"{name}{TEMPORARY_SUFFIX}"
    with open(temporary, "wb") as file:
        file.write(struct.pack(">I", zlib.crc32(body)))
        file.write(body)
        file.flush()
        os.fsync(file.fileno())
    os.rename(temporary, folder / f"{name}.v{number:08d}")
    sync_folder(folder)
    for path in old_versions.values():
        path.unlink()


def load(folder, name):
    """Return the content of the newest version, or None; raise DiskError on a bad checksum."""
    versions = _versions(folder, name)
    if not versions:
        return None
    path = versions[max(versions)]
    data = path.read_bytes()
    if len(data) < 4 or struct.unpack(">I", data[:4])[0] != zlib.crc32(data[4:]):
        raise DiskError(failures.DiskUntrusted(path.name, "checksum"))
    return data[4:]
