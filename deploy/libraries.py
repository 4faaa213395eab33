"""The shared libraries that installed wheels load, and the Debian package of each.

A wheel with compiled parts contains some shared libraries and expects the others from the
system. Both are read from the ELF headers, without external tools, since a machine has only
the `packages` that system.toml lists.
"""

import ctypes
import pathlib
import struct
from dataclasses import dataclass

# The Debian package of each system library that a manylinux wheel may expect.
PACKAGE_OF_LIBRARY = {
    "ld-linux-aarch64.so.1": "libc6",
    "ld-linux-x86-64.so.2": "libc6",
    "libc.so.6": "libc6",
    "libdl.so.2": "libc6",
    "libm.so.6": "libc6",
    "libpthread.so.0": "libc6",
    "libresolv.so.2": "libc6",
    "librt.so.1": "libc6",
    "libgcc_s.so.1": "libgcc-s1",
    "libstdc++.so.6": "libstdc++6",
    "libz.so.1": "zlib1g",
}

ELF_MAGIC = b"\x7fELF"
ELF_CLASS_64_LITTLE_ENDIAN = b"\x02\x01"
FILE_HEADER = struct.Struct("<16sHHIQQQIHHHHHH")
PROGRAM_HEADER = struct.Struct("<IIQQQQQQ")
DYNAMIC_ENTRY = struct.Struct("<qQ")
SEGMENT_LOADED, SEGMENT_DYNAMIC = 1, 2
TAG_END, TAG_NEEDED, TAG_STRING_TABLE = 0, 1, 5


class UnsupportedElfFile(ValueError):
    """The ELF file isn't a 64-bit little-endian one, or its headers are inconsistent."""


@dataclass(frozen=True)
class Segment:
    """One program header: a part of the file and the address at which it is loaded."""

    kind: int
    offset: int
    address: int
    size: int

    def contains(self, address: int) -> bool:
        """Whether the loaded segment contains the address."""
        return self.address <= address < self.address + self.size


def is_elf(path: pathlib.Path) -> bool:
    """Whether the file starts with the ELF magic number."""
    with path.open("rb") as file:
        return file.read(len(ELF_MAGIC)) == ELF_MAGIC


def needed_libraries(path: pathlib.Path) -> set[str]:
    """The names of the shared libraries that an ELF file requires (DT_NEEDED)."""
    try:
        return needed_libraries_of(path.read_bytes())
    except UnsupportedElfFile as error:
        raise UnsupportedElfFile(f"{path}: {error}") from error


def needed_libraries_of(data: bytes) -> set[str]:
    """The names of the shared libraries that the content of an ELF file requires (DT_NEEDED)."""
    if data[4:6] != ELF_CLASS_64_LITTLE_ENDIAN:
        raise UnsupportedElfFile("not a 64-bit little-endian ELF file")
    segments = read_segments(data)
    entries = read_dynamic_entries(data, segments)
    tables = [value for tag, value in entries if tag == TAG_STRING_TABLE]
    if not tables:
        return set()
    table = file_offset(segments, tables[0])
    return {read_string(data, table + value) for tag, value in entries if tag == TAG_NEEDED}


def read_segments(data: bytes) -> list[Segment]:
    """All program headers of an ELF file."""
    header = FILE_HEADER.unpack_from(data)
    table_offset, entry_size, count = header[5], header[9], header[10]
    segments = []
    for number in range(count):
        fields = PROGRAM_HEADER.unpack_from(data, table_offset + number * entry_size)
        kind, _, offset, address, _, size, _, _ = fields
        segments.append(Segment(kind, offset, address, size))
    return segments


def read_dynamic_entries(data: bytes, segments: list[Segment]) -> list[tuple[int, int]]:
    """The (tag, value) pairs of the dynamic section, up to its end."""
    entries: list[tuple[int, int]] = []
    for segment in segments:
        if segment.kind != SEGMENT_DYNAMIC:
            continue
        section = data[segment.offset : segment.offset + segment.size]
        for tag, value in DYNAMIC_ENTRY.iter_unpack(section):
            if tag == TAG_END:
                break
            entries.append((tag, value))
    return entries


def file_offset(segments: list[Segment], address: int) -> int:
    """The file offset of the byte that is loaded at an address."""
    for segment in segments:
        if segment.kind == SEGMENT_LOADED and segment.contains(address):
            return address - segment.address + segment.offset
    raise UnsupportedElfFile(f"no loaded segment contains the address {address:#x}")


def read_string(data: bytes, offset: int) -> str:
    """The zero-terminated string at an offset of the file."""
    return data[offset : data.index(b"\0", offset)].decode()


def system_libraries(folder: pathlib.Path) -> set[str]:
    """The libraries that the ELF files below a folder need and that aren't among them."""
    files = [path for path in folder.rglob("*.so*") if path.is_file() and is_elf(path)]
    included = {path.name for path in files}
    needed: set[str] = set()
    for path in files:
        needed |= needed_libraries(path)
    return needed - included


def missing_libraries(names: set[str]) -> list[str]:
    """The libraries among `names` that this system can't load, sorted."""
    return sorted(name for name in names if not can_load(name))


def can_load(name: str) -> bool:
    """Whether the loader can load a shared library by its name."""
    try:
        ctypes.CDLL(name)
    except OSError:
        return False
    return True


def describe(name: str) -> str:
    """A library's name with the Debian package that provides it."""
    package = PACKAGE_OF_LIBRARY.get(name)
    return f"{name} (Debian package {package})" if package else f"{name} (package unknown)"
