"""Small files in versions: written aside, synced, renamed, the folder synced; only then
the old version goes.  Whatever is lost in between, the newest whole version is read."""

import os
import struct
import zlib

from transport import failures

__all__ = ["TEMPORARY_SUFFIX", "DiskError", "load", "save", "sync_file", "sync_folder"]

TEMPORARY_SUFFIX = ".aside"


class DiskError(Exception):
    def __init__(self, failure):
        super().__init__(failure.tag)
        self.failure = failure


def sync_folder(folder):
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def sync_file(path):
    handle = os.open(path, os.O_RDWR)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def _versions(folder, name):
    found = {}
    for path in folder.glob(name + ".v*"):
        tail = path.name[len(name) + 2 :]
        if tail.isdigit():
            found[int(tail)] = path
    return found


def save(folder, name, body):
    old = _versions(folder, name)
    number = max(old, default=0) + 1
    aside = folder / f"{name}{TEMPORARY_SUFFIX}"
    with open(aside, "wb") as out:
        out.write(struct.pack(">I", zlib.crc32(body)))
        out.write(body)
        out.flush()
        os.fsync(out.fileno())
    os.rename(aside, folder / f"{name}.v{number:08d}")
    sync_folder(folder)
    for path in old.values():
        path.unlink()


def load(folder, name):
    found = _versions(folder, name)
    if not found:
        return None
    path = found[max(found)]
    data = path.read_bytes()
    if len(data) < 4 or struct.unpack(">I", data[:4])[0] != zlib.crc32(data[4:]):
        raise DiskError(failures.DiskUntrusted(path.name, "checksum"))
    return data[4:]
