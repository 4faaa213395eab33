"""A layout as its operators wrote it, kept so that it can be read back as sent.

`document` is {"edition", "parts": {"routes": {name: item}, ...}, "rest": {...}}:
lists of named items become mappings in the order they were written, the rest
stays.  A change is logged as what it changes only.  Reading (items to facts) is
the adapter's `Reader`; judging is done here: editions rise, a change builds on
the present one, the same change again gets the same answer.
"""

import json
from dataclasses import dataclass
from typing import Callable

from transport.failures import FieldWrong, LayoutWrong, StampStale

from configuration import checked_document, passages

__all__ = ["Reader", "EMPTY", "judged", "merged", "as_sent", "read"]

EMPTY = {"edition": 0, "parts": {}, "rest": {}}


@dataclass(frozen=True)
class Reader:
    """What the adapter knows of the form: names of the listed parts, and item readers.

    `route(item)` and `service(item)` return facts as in `passages`, raising KeyError,
    TypeError, ValueError or an ArithmeticError on what can't be read."""

    edition: str
    routes: str
    services: str
    upsert: str
    remove: str
    route: Callable
    service: Callable


class _Unreadable(Exception):
    def __init__(self, field, cause):
        super().__init__(field)
        self.wrong = FieldWrong(field, cause)


def _named(part, items):
    if not isinstance(items, list):
        raise _Unreadable(part, "not a list")
    found = {}
    for number, item in enumerate(items):
        name = item.get("name") if isinstance(item, dict) else None
        if not isinstance(name, str) or not name:
            raise _Unreadable(f"{part}.{number}.name", "missing")
        if name in found:
            raise _Unreadable(f"{part}.{number}.name", f"twice: {name}")
        found[name] = item
    return found


def _whole(reader, body):
    """A document of a whole layout."""
    for part in (reader.routes, reader.services):
        if part not in body:
            raise _Unreadable(part, "missing")
    parts = {part: _named(part, body[part]) for part in (reader.routes, reader.services)}
    rest = {k: v for k, v in body.items() if k not in parts and k != reader.edition}
    return {"edition": body[reader.edition], "parts": parts, "rest": rest}


def _patched(reader, document, body):
    """A document with named items replaced, added and removed."""
    parts = {part: dict(items) for part, items in document["parts"].items()}
    upsert, remove = body.get(reader.upsert, {}), body.get(reader.remove, {})
    if not isinstance(upsert, dict) or not isinstance(remove, dict):
        raise _Unreadable(reader.upsert, "not an object")
    for part, names in remove.items():
        if part not in parts or not isinstance(names, list):
            raise _Unreadable(f"{reader.remove}.{part}", "no such list")
        for name in names:
            if not isinstance(name, str):
                raise _Unreadable(f"{reader.remove}.{part}", "not a name")
            parts[part].pop(name, None)
    for part, items in upsert.items():
        if part not in parts:
            raise _Unreadable(f"{reader.upsert}.{part}", "no such list")
        parts[part].update(_named(part, items))
    return {"edition": body[reader.edition], "parts": parts, "rest": document["rest"]}


def _facts(reader, document):
    """(routes, services) by name, as facts."""
    found = []
    for part, read_item in ((reader.routes, reader.route), (reader.services, reader.service)):
        items = document["parts"].get(part, {})
        try:
            found.append(checked_document.read_items(part, items, read_item))
        except checked_document.Unreadable as unreadable:
            at = f"{unreadable.part}.{unreadable.name}"
            raise _Unreadable(at, unreadable.cause) from unreadable
    return found


def read(checked):
    """The section that a good document spells."""
    return passages.section(checked.routes, checked.services)


def judged(reader, document, body, checked=None):
    """(what changes, None) or (None, failure) for a change to `document`.

    `body`: {"expect": the edition built on, "written": the change, "partial"}; `checked`
    is the CheckedDocument of `document`, if there is one."""
    told, expect = body.get("written"), body.get("expect")
    if not isinstance(told, dict):
        return None, LayoutWrong((FieldWrong("(whole)", "not an object"),))
    edition = told.get(reader.edition)
    if not isinstance(edition, int) or isinstance(edition, bool) or edition < 1:
        return None, LayoutWrong((FieldWrong(reader.edition, "not a whole number from 1"),))
    if expect != document["edition"]:
        return None, StampStale(expect if isinstance(expect, int) else -1, document["edition"])
    if edition <= document["edition"]:
        return None, LayoutWrong((FieldWrong(reader.edition, "not above the current one"),))
    try:
        made = _patched(reader, document, told) if body.get("partial") else _whole(reader, told)
        touched = _touched(reader, document, told, made, body.get("partial"))
        _keep_same(document, made, touched)
        known = checked is not None
        if not known or not checked_document.accepts(reader, checked, made, touched):
            wrong = passages.check(*_facts(reader, made))
            if wrong:
                return None, LayoutWrong(tuple(wrong[:100]))
    except _Unreadable as unreadable:
        return None, LayoutWrong((unreadable.wrong,))
    return _difference(document, made), None


def _same(old, new):
    """Whether both read back alike: 1, 1.0 and true are equal and don't."""
    return old is new or (old == new and json.dumps(old) == json.dumps(new))


def _touched(reader, old, told, new, partial):
    """{part: names of the items in which `new` may differ from `old`}."""
    found = {}
    for part in (reader.routes, reader.services):
        if partial:
            upsert = told.get(reader.upsert, {}).get(part, ())
            found[part] = {item["name"] for item in upsert}
            found[part].update(told.get(reader.remove, {}).get(part, ()))
        else:
            found[part] = set(new["parts"].get(part, ())) | set(old["parts"].get(part, ()))
    return found


def _keep_same(old, new, touched):
    """Put the very items of `old` in place of those of `new` that read back alike."""
    for part, items in new["parts"].items():
        before = old["parts"].get(part, {})
        for name in touched[part] & items.keys() & before.keys():
            if _same(before[name], items[name]):
                items[name] = before[name]


def _difference(old, new):
    """{"edition", "set", "gone", "order", "rest"}: what makes `new` of `old`."""
    told = {"edition": new["edition"], "set": {}, "gone": {}, "order": {}}
    for part, items in new["parts"].items():
        before = old["parts"].get(part, {})
        told["set"][part] = {n: i for n, i in items.items() if before.get(n) is not i}
        told["gone"][part] = [n for n in before if n not in items]
        like = [n for n in before if n in items] + [n for n in items if n not in before]
        if like != list(items):
            told["order"][part] = list(items)
    if not _same(new["rest"], old["rest"]):
        told["rest"] = new["rest"]
    return told


def merged(document, told):
    """A document with a difference laid over it."""
    parts = {part: dict(items) for part, items in document["parts"].items()}
    for part, items in told["set"].items():
        kept = parts.setdefault(part, {})
        for name in told["gone"].get(part, ()):
            kept.pop(name, None)
        kept.update(items)
        if part in told["order"]:
            parts[part] = {name: kept[name] for name in told["order"][part]}
    return {"edition": told["edition"], "parts": parts, "rest": told.get("rest", document["rest"])}


def as_sent(reader, document):
    """The whole document in its operators' form."""
    return json.dumps(
        {
            reader.edition: document["edition"],
            **{part: list(items.values()) for part, items in document["parts"].items()},
            **document["rest"],
        }
    )
