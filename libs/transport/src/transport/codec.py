"""Dataclasses to bytes and back.

Every message that two of our processes exchange, and every entry of the log,
is a dataclass.  Its field annotations decide its layout, so a message is
declared once and cannot disagree with its own encoding.

The layout, field after field: an int in eight bytes, signed, high byte first; a
float as IEEE double, high byte first; a bool in one byte; text (UTF-8) and bytes
after their length, a tuple after its count, both as LEB128; a dataclass as its
own fields.  Fields of fixed size that stand side by side are packed in one go.
"""

import dataclasses
import functools
import itertools
import operator
import struct
import typing

__all__ = ["to_bytes", "from_bytes", "DecodeError"]

_FIXED = {int: "q", float: "d", bool: "?"}
_ONE_BYTE_LENGTH = 0x7F
"""The longest length that is spelt in one byte."""
_KEPT_RECORDS = 1024
"""How many records' bytes are kept at most."""
_LONGEST_LENGTH = 10
"""Bytes of a length that we read at most; 64 bits fit."""


class DecodeError(Exception):
    """Bytes that do not spell the dataclass they claim to be."""


def to_bytes(value):
    out = bytearray()
    _record(type(value)).write(out, value)
    return bytes(out)


def from_bytes(kind, data):
    found = []
    try:
        _record(kind).read(data, 0, found)
    except (struct.error, ValueError, LookupError, TypeError, OverflowError, MemoryError) as broken:
        raise DecodeError(kind.__name__) from broken
    return found[0]


def _write_length(out, length):
    while length > 0x7F:
        out.append(0x80 | (length & 0x7F))
        length >>= 7
    out.append(length)


def _read_length(data, at):
    first = data[at]
    if first < 0x80:
        return first, at + 1
    length = 0
    for number in range(_LONGEST_LENGTH):
        byte = data[at + number]
        length |= (byte & 0x7F) << (7 * number)
        if byte < 0x80:
            return length, at + number + 1
    raise ValueError("a length without an end")


@dataclasses.dataclass(frozen=True)
class _FixedRun:
    """Fields of fixed size side by side; `get` gives one value, or all in a tuple."""

    get: typing.Callable
    packer: struct.Struct

    def write(self, out, value):
        found = self.get(value)
        out += self.packer.pack(*found) if isinstance(found, tuple) else self.packer.pack(found)

    def read(self, data, at, values):
        values += self.packer.unpack_from(data, at)
        return at + self.packer.size


@dataclasses.dataclass(frozen=True)
class _Bytes:
    get: typing.Callable

    def write(self, out, value):
        found = self.get(value)
        _write_length(out, len(found))
        out += found

    def read(self, data, at, values):
        size, at = _read_length(data, at)
        end = at + size
        if end > len(data):
            raise ValueError("cut off")
        values.append(data[at:end])
        return end


class _Text(_Bytes):
    """As the bytes of its encoding.  Most of what is read and written are short texts, so
    a length of one byte is dealt with here."""

    def write(self, out, value):
        encoded = self.get(value).encode()
        size = len(encoded)
        if size <= _ONE_BYTE_LENGTH:
            out.append(size)
        else:
            _write_length(out, size)
        out += encoded

    def read(self, data, at, values):
        size = data[at]
        at += 1
        if size > _ONE_BYTE_LENGTH:
            size, at = _read_length(data, at - 1)
        end = at + size
        if end > len(data):
            raise ValueError("cut off")
        values.append(data[at:end].decode())
        return end


@dataclasses.dataclass(frozen=True)
class _Many:
    """A tuple; `item` reads and writes each of its values."""

    get: typing.Callable
    item: object

    def write(self, out, value):
        found = self.get(value)
        _write_length(out, len(found))
        for one in found:
            self.item.write(out, one)

    def read(self, data, at, values):
        count, at = _read_length(data, at)
        found = []
        for _ in range(count):
            at = self.item.read(data, at, found)
        values.append(tuple(found))
        return at


@dataclasses.dataclass(frozen=True)
class _Record:
    """A dataclass, as the fields it has."""

    get: typing.Callable
    kind: type
    fields: tuple

    def write(self, out, value):
        found = self.get(value)
        for field in self.fields:
            field.write(out, found)

    def read(self, data, at, values):
        found = []
        for field in self.fields:
            at = field.read(data, at, found)
        values.append(self.kind(*found))
        return at


class _KeptRecord(_Record):
    """A record of texts and truth values inside another, as the cards of nodes are: the
    same few are written again and again, so their bytes are kept."""

    def write(self, out, value):
        out += _kept_bytes(self.get(value))


@functools.lru_cache(_KEPT_RECORDS)
def _kept_bytes(value):
    return to_bytes(value)


def _itself(value):
    return value


@functools.cache
def _record(kind, get=_itself):
    hints = typing.get_type_hints(kind)
    named = [(field.name, hints[field.name]) for field in dataclasses.fields(kind)]
    found = []
    for fixed, run in itertools.groupby(named, lambda one: one[1] in _FIXED):
        if fixed:
            names, kinds = zip(*run)
            found.append(_fixed_run(operator.attrgetter(*names), kinds))
        else:
            found += [_field(operator.attrgetter(name), kind) for name, kind in run]
    return _Record(get, kind, tuple(found))


def _fixed_run(get, kinds):
    return _FixedRun(get, struct.Struct(">" + "".join(_FIXED[kind] for kind in kinds)))


def _field(get, kind):
    if kind is str:
        return _Text(get)
    if kind is bytes:
        return _Bytes(get)
    if kind in _FIXED:
        return _fixed_run(get, (kind,))
    if typing.get_origin(kind) is tuple:
        return _Many(get, _field(_itself, typing.get_args(kind)[0]))
    inner = _record(kind, get)
    if set(typing.get_type_hints(kind).values()) <= {str, bool}:
        return _KeptRecord(inner.get, inner.kind, inner.fields)
    return inner
