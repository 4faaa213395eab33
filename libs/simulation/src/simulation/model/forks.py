"""Copies of core state, and one canonical text for states that differ in names only.

The core's state is dataclasses, lists, dicts and sets, so it is copied and written
out without knowing their fields.  Replicas are named by one capital letter, and no
other text has capitals once written out, so symmetric states are folded by writing
them out under another assignment of letters.
"""

import dataclasses
import functools
import json
import re

from replication import state_machine
from transport.codec import from_bytes
from transport.messages import Batch, Entry, Member

__all__ = ["NOW_MS", "fork", "text", "renamed", "label", "members_in"]

# Every replica's clock stands here: timers fire by choice, not by time.
NOW_MS = 1_000_000.0
# Times further away than this are all alike to the core's timers.
_FAR_MS = 4_000.0
_ATOMS = frozenset({int, float, str, bytes, bool, type(None), tuple, frozenset})
# What follows from the rest of the state, or is only reported.
_LEFT_OUT = frozenset(
    {
        "state",
        "settings",
        "random",
        "round_sent_ms",
        "batches",
        "records",
        "flush_ms",
        "last_write_ms",
        "last_done_ms",
        "turnMs",
        "reported_ms",
        "last_shards",
        "card",
        "bytes_since_snapshot",
        "nodes",
        "tick_ms",
    }
)


@functools.cache
def _names(kind):
    return tuple(f.name for f in dataclasses.fields(kind))


@functools.cache
def _is_state(kind):
    return dataclasses.is_dataclass(kind) and not kind.__dataclass_params__.frozen


def fork(value):
    """A copy that shares only what never changes."""
    kind = type(value)
    if kind in _ATOMS:
        return value
    if kind is list:
        return [x if type(x) in _ATOMS else fork(x) for x in value]
    if kind is dict:
        return {k: v if type(v) in _ATOMS else fork(v) for k, v in value.items()}
    if kind is set:
        return set(value)
    if not _is_state(kind):
        return value
    made = kind.__new__(kind)
    held = value.__dict__.copy()
    for name, inner in held.items():
        if type(inner) not in _ATOMS:
            held[name] = fork(inner)
    made.__dict__ = held
    return made


def text(value):
    """Write a value out; equal texts, equal states."""
    return _writer(type(value))(value)


@functools.cache
def _writer(kind):
    found = _WRITERS.get(kind)
    if found is None and dataclasses.is_dataclass(kind):
        return _dataclass_writer(kind)
    return found or (lambda value: str(value).lower())


def _dataclass_writer(kind):
    names = [n for n in _names(kind) if n not in _LEFT_OUT]
    head = kind.__name__.lower()
    kept = getattr(kind, "WRITTEN_ONCE", False)

    def write(value):
        known = value.__dict__.get(_MEMO) if kept else None
        if known is None:
            held = value.__dict__
            told = [_writer(type(held[n]))(held[n]) for n in names]
            known = f"{head}({','.join(told)})"
            if kept:
                value.__dict__[_MEMO] = known
        return known

    return write


def _float_text(value):
    return str(round(max(-_FAR_MS, min(_FAR_MS, value - NOW_MS))))


def _list_text(value):
    if value and type(value[0]) is Member:
        return _set_text(value)
    return "[" + ",".join([_writer(type(x))(x) for x in value]) + "]"


def _set_text(value):
    return "{" + ";".join(sorted([text(x) for x in value])) + "}"


def _dict_text(value):
    return "{" + ";".join(sorted([text(k) + ":" + text(v) for k, v in value.items()])) + "}"


def renamed(written, letters):
    """The text with other letters, its innermost sets and maps in order again."""
    return _INNER.sub(_in_order, written.translate(letters))


def _in_order(found):
    parts = found[1].split(";")
    return "{" + ";".join(sorted(parts)) + "}" if len(parts) > 1 else found[0]


def _entry_text(value):
    return f"{value.index}.{value.term}.{label(value.body)}"


_MEMO = "_written_out"
_INNER = re.compile(r"\{([^{}]*)\}")
_WRITERS = {
    str: str,
    int: str,
    bool: lambda value: "y" if value else "n",
    type(None): lambda value: "-",
    float: _float_text,
    bytes: lambda value: value.decode("latin-1").lower() if len(value) < 16 else value.hex(),
    list: _list_text,
    tuple: _list_text,
    set: _set_text,
    frozenset: _set_text,
    dict: _dict_text,
    Entry: _entry_text,
}


@functools.lru_cache(maxsize=200_000)
def _label(body):
    told = []
    for section in from_bytes(Batch, body).sections:
        if section.kind == state_machine.MEMBERS:
            names = sorted(m["identity"] for m in json.loads(section.records[0]))
            told.append("m" + "".join(names))
        elif section.kind == state_machine.TERM:
            told.append(f"t{section.epoch}")
        else:
            told.append(b"+".join(section.records).decode("latin-1"))
    return "/".join(told)


def label(body):
    """A short name for an entry's body: a term, a membership or the commands in it."""
    return _label(body)


@functools.lru_cache(maxsize=200_000)
def members_in(body):
    """The identities of the membership in an entry's body, or nothing."""
    if b'"identity"' not in body:
        return ()
    for section in from_bytes(Batch, body).sections:
        if section.kind == state_machine.MEMBERS:
            return tuple(sorted(m["identity"] for m in json.loads(section.records[0])))
    return ()
