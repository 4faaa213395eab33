"""Binary encoding of dataclasses.

Every message between processes and the body of every log entry is a dataclass.  The encoding
follows from the annotations of its fields, in their order and without their names, so a
message is declared in one place only.

Encoding of a field: an int as eight bytes, signed, big-endian; a float as an IEEE double,
big-endian; a bool as one byte; a str (UTF-8) and bytes after their length, a tuple after its
item count, lengths and counts as LEB128; a dataclass as its fields.  Adjacent fields of fixed
size are packed in one call.
"""

import dataclasses
import functools
import itertools
import operator
import struct
import typing

__all__ = ["to_bytes", "from_bytes", "DecodeError"]

_FIXED = {int: "q", float: "d", bool: "?"}
_MAX_ONE_BYTE_LENGTH = 0x7F
"""The greatest length that is encoded in one byte."""
_RECORD_CACHE_SIZE = 1024
"""The greatest number of cached encodings (see `_CachedRecord`)."""
_MAX_LENGTH_BYTES = 10
"""The greatest number of bytes of an encoded length: enough for 64 bits."""


class DecodeError(Exception):
    """The bytes are not an encoding of the expected dataclass."""


def to_bytes(value):
    """The encoding of a dataclass instance."""
    out = bytearray()
    _record(type(value)).write(out, value)
    return bytes(out)


def from_bytes(kind, data):
    """The instance of the dataclass `kind` that `data` encodes; raises DecodeError."""
    values = []
    try:
        _record(kind).read(data, 0, values)
    except (struct.error, ValueError, LookupError, TypeError, OverflowError, MemoryError) as error:
        raise DecodeError(kind.__name__) from error
    return values[0]


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
    for number in range(_MAX_LENGTH_BYTES):
        byte = data[at + number]
        length |= (byte & 0x7F) << (7 * number)
        if byte < 0x80:
            return length, at + number + 1
    raise ValueError("a length is encoded in too many bytes")


@dataclasses.dataclass(frozen=True)
class _FixedFields:
    """Adjacent fields of fixed size; `get` returns one value, or several in a tuple."""

    get: typing.Callable
    packer: struct.Struct

    def write(self, out, value):
        field_value = self.get(value)
        out += (
            self.packer.pack(*field_value)
            if isinstance(field_value, tuple)
            else self.packer.pack(field_value)
        )

    def read(self, data, at, values):
        values += self.packer.unpack_from(data, at)
        return at + self.packer.size


@dataclasses.dataclass(frozen=True)
class _Bytes:
    """A field of bytes, written after its length."""

    get: typing.Callable

    def write(self, out, value):
        field_value = self.get(value)
        _write_length(out, len(field_value))
        out += field_value

    def read(self, data, at, values):
        size, at = _read_length(data, at)
        end = at + size
        if end > len(data):
            raise ValueError("the data is cut off within a field")
        values.append(data[at:end])
        return end


class _Text(_Bytes):
    """A str field, as its UTF-8 bytes.

    Most fields are short texts, so lengths of one byte are read and written here, without a
    call.
    """

    def write(self, out, value):
        encoded = self.get(value).encode()
        size = len(encoded)
        if size <= _MAX_ONE_BYTE_LENGTH:
            out.append(size)
        else:
            _write_length(out, size)
        out += encoded

    def read(self, data, at, values):
        size = data[at]
        at += 1
        if size > _MAX_ONE_BYTE_LENGTH:
            size, at = _read_length(data, at - 1)
        end = at + size
        if end > len(data):
            raise ValueError("the data is cut off within a field")
        values.append(data[at:end].decode())
        return end


@dataclasses.dataclass(frozen=True)
class _Tuple:
    """A tuple field, written after its item count; `item` reads and writes each of its items."""

    get: typing.Callable
    item: object

    def write(self, out, value):
        field_value = self.get(value)
        _write_length(out, len(field_value))
        for inner in field_value:
            self.item.write(out, inner)

    def read(self, data, at, values):
        count, at = _read_length(data, at)
        items = []
        for _ in range(count):
            at = self.item.read(data, at, items)
        values.append(tuple(items))
        return at


@dataclasses.dataclass(frozen=True)
class _Record:
    """A dataclass, written as its fields; `get` returns the instance."""

    get: typing.Callable
    kind: type
    fields: tuple

    def write(self, out, value):
        field_value = self.get(value)
        for field in self.fields:
            field.write(out, field_value)

    def read(self, data, at, values):
        field_values = []
        for field in self.fields:
            at = field.read(data, at, field_values)
        values.append(self.kind(*field_values))
        return at


class _CachedRecord(_Record):
    """A dataclass field with only str and bool fields of its own, such as NodeInfo.

    The same few instances are written repeatedly, so their encodings are cached.
    """

    def write(self, out, value):
        out += _cached_bytes(self.get(value))


@functools.lru_cache(_RECORD_CACHE_SIZE)
def _cached_bytes(value):
    return to_bytes(value)


def _identity(value):
    return value


@functools.cache
def _record(kind, get=_identity):
    """The encoder and decoder of the dataclass `kind`; `get` returns the instance to write."""
    hints = typing.get_type_hints(kind)
    named = [(field.name, hints[field.name]) for field in dataclasses.fields(kind)]
    found = []
    for fixed, run in itertools.groupby(named, lambda pair: pair[1] in _FIXED):
        if fixed:
            names, kinds = zip(*run)
            found.append(_fixed_fields(operator.attrgetter(*names), kinds))
        else:
            found += [_field(operator.attrgetter(name), kind) for name, kind in run]
    return _Record(get, kind, tuple(found))


def _fixed_fields(get, kinds):
    return _FixedFields(get, struct.Struct(">" + "".join(_FIXED[kind] for kind in kinds)))


def _field(get, kind):
    """The encoder and decoder of a field of type `kind`; `get` returns the value to write."""
    if kind is str:
        return _Text(get)
    if kind is bytes:
        return _Bytes(get)
    if kind in _FIXED:
        return _fixed_fields(get, (kind,))
    if typing.get_origin(kind) is tuple:
        return _Tuple(get, _field(_identity, typing.get_args(kind)[0]))
    inner = _record(kind, get)
    if set(typing.get_type_hints(kind).values()) <= {str, bool}:
        return _CachedRecord(inner.get, inner.kind, inner.fields)
    return inner
