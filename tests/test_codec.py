"""The codec spells every message as construct, told the same layout, does: the same
bytes, the same values back, and the same bodies refused."""

import dataclasses
import functools
import typing

import construct as c
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from replication import segment_format
from transport import codec, messages

KINDS = sorted([*messages.KIND_OF, messages.Batch], key=lambda kind: kind.__name__)
BASE = {
    int: c.Int64sb,
    float: c.Float64b,
    bool: c.Flag,
    str: c.PascalString(c.VarInt, "utf8"),
    bytes: c.Prefixed(c.VarInt, c.GreedyBytes),
}
NO_GROUP = messages.GroupInfo("", 0, 0, "", ())
VALUES = {
    int: st.integers(-(2**63), 2**63 - 1),
    float: st.floats(allow_nan=False),
    bool: st.booleans(),
    str: st.text(max_size=200),
    bytes: st.binary(max_size=200),
}


def field_layout(kind):
    if kind in BASE:
        return BASE[kind]
    if typing.get_origin(kind) is tuple:
        return c.PrefixedArray(c.VarInt, field_layout(typing.get_args(kind)[0]))
    return layout(kind)


@functools.cache
def layout(kind):
    hints = typing.get_type_hints(kind)
    return c.Struct(*(f.name / field_layout(hints[f.name]) for f in dataclasses.fields(kind)))


def as_construct(value):
    if dataclasses.is_dataclass(value):
        return {f.name: as_construct(getattr(value, f.name)) for f in dataclasses.fields(value)}
    return [as_construct(one) for one in value] if isinstance(value, tuple) else value


def from_construct(kind, parsed):
    if typing.get_origin(kind) is tuple:
        return tuple(from_construct(typing.get_args(kind)[0], one) for one in parsed)
    if dataclasses.is_dataclass(kind):
        hints = typing.get_type_hints(kind)
        return kind(**{name: from_construct(hints[name], parsed[name]) for name in hints})
    return parsed


@functools.cache
def values_of(kind):
    if kind in VALUES:
        return VALUES[kind]
    if typing.get_origin(kind) is tuple:
        return st.lists(values_of(typing.get_args(kind)[0]), max_size=4).map(tuple)
    hints = typing.get_type_hints(kind)
    return st.builds(kind, *(values_of(hints[f.name]) for f in dataclasses.fields(kind)))


def read_by_construct(kind, body):
    """The value, or None where construct refuses the body."""
    try:
        return from_construct(kind, layout(kind).parse(body))
    except (c.ConstructError, UnicodeDecodeError):
        return None


def read(kind, body):
    try:
        return codec.from_bytes(kind, body)
    except codec.DecodeError:
        return None


@pytest.mark.parametrize("kind", KINDS)
@settings(max_examples=25, deadline=None, derandomize=True)
@given(st.data())
def test_same_bytes_and_same_value_back(kind, data):
    value = data.draw(values_of(kind))
    body = codec.to_bytes(value)
    assert body == layout(kind).build(as_construct(value))
    assert read(kind, body) == value == read_by_construct(kind, body)


@pytest.mark.parametrize("kind", KINDS)
@settings(max_examples=25, deadline=None, derandomize=True)
@given(st.data())
def test_same_bodies_refused(kind, data):
    body = bytearray(codec.to_bytes(data.draw(values_of(kind))))
    end = data.draw(st.integers(0, len(body)))
    broken = bytes(body[:end])
    if end:
        at = data.draw(st.integers(0, end - 1))
        flipped = bytearray(broken)
        flipped[at] ^= data.draw(st.integers(1, 255))
        assert repr(read(kind, bytes(flipped))) == repr(read_by_construct(kind, bytes(flipped)))
    assert repr(read(kind, broken)) == repr(read_by_construct(kind, broken))


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.integers(0, 2**63 - 1), st.integers(0, 2**63 - 1), st.integers(0, 2**63 - 1), st.binary())
def test_a_segment_entry_is_headed_as_construct_would(index, term, known, body):
    head = c.Struct(
        "magic" / c.Const(b"PHL1"),
        "index" / c.Int64ub,
        "term" / c.Int64ub,
        "known" / c.Int64ub,
        "size" / c.Int32ub,
        "crc" / c.Int32ub,
        "headCrc" / c.Int32ub,
    )
    data = segment_format.pack(messages.Entry(index, term, body), known)
    told = head.parse(data)
    assert (told.index, told.term, told.known, told.size) == (index, term, known, len(body))
    assert told.crc == segment_format.zlib.crc32(body)
    assert told.headCrc == segment_format.zlib.crc32(data[:36])
    assert segment_format.scan(data).entries == (messages.Entry(index, term, body),)


# Cards' bytes are kept: one that differs in a single field must not get another's.
@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.lists(
        st.builds(messages.NodeInfo, *[st.sampled_from(("", "a", "å", "a" * 127, "a" * 128))] * 7)
        | st.builds(messages.NodeInfo, *[st.sampled_from(("", "a"))] * 7, st.booleans()),
        max_size=12,
    )
)
def test_records_that_are_written_again_keep_their_own_bytes(cards):
    greet = functools.partial(messages.Gossip, messages.NodeInfo(*[""] * 6), False, group=NO_GROUP)
    for _ in range(2):
        value = greet(cards=tuple(cards))
        assert codec.to_bytes(value) == layout(messages.Gossip).build(as_construct(value))
