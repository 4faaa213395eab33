"""Dataclasses to bytes and back.

Every message that two of our processes exchange, and every entry of the log,
is a dataclass.  Its field annotations decide its construct layout, so a
message is declared once and cannot disagree with its own encoding.
"""

import dataclasses
import functools
import struct
import typing

import construct as c

__all__ = ["schema", "to_bytes", "from_bytes", "BadBody"]

_BASE = {
    int: c.Int64sb,
    float: c.Float64b,
    bool: c.Flag,
    str: c.PascalString(c.VarInt, "utf8"),
    bytes: c.Prefixed(c.VarInt, c.GreedyBytes),
}


class BadBody(Exception):
    """Bytes that do not spell the dataclass they claim to be."""


def _field_schema(kind):
    if kind in _BASE:
        return _BASE[kind]
    if typing.get_origin(kind) is tuple:
        return c.PrefixedArray(c.VarInt, _field_schema(typing.get_args(kind)[0]))
    return schema(kind)


@functools.cache
def schema(kind):
    hints = typing.get_type_hints(kind)
    return c.Struct(*(f.name / _field_schema(hints[f.name]) for f in dataclasses.fields(kind)))


@functools.cache
def _compiled(kind):
    return schema(kind).compile()


@functools.cache
def _nested(kind):
    """Names of fields that hold dataclasses, with the dataclass and a many-flag."""
    found = []
    for name, hint in typing.get_type_hints(kind).items():
        many = typing.get_origin(hint) is tuple
        inner = typing.get_args(hint)[0] if many else hint
        if dataclasses.is_dataclass(inner):
            found.append((name, inner, many))
    return tuple(found)


def _plain(value):
    fields = dict(vars(value))
    for name, _, many in _nested(type(value)):
        inner = fields[name]
        fields[name] = [_plain(i) for i in inner] if many else _plain(inner)
    return fields


def _rebuild(kind, parsed):
    fields = {}
    for field in dataclasses.fields(kind):
        value = parsed[field.name]
        fields[field.name] = tuple(value) if isinstance(value, list) else value
    for name, inner, many in _nested(kind):
        value = fields[name]
        fields[name] = tuple(_rebuild(inner, i) for i in value) if many else _rebuild(inner, value)
    return kind(**fields)


def to_bytes(value):
    return _compiled(type(value)).build(_plain(value))


def from_bytes(kind, data):
    try:
        return _rebuild(kind, _compiled(kind).parse(data))
    except (
        c.ConstructError,
        struct.error,
        ValueError,
        LookupError,
        TypeError,
        EOFError,
        OverflowError,
        MemoryError,
    ) as broken:
        raise BadBody(kind.__name__) from broken
