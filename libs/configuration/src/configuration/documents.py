"""Configurations in a platform's own form, kept so that operators can read back what they sent.

A document is {"edition", "parts": {"routes": {name: item}, ...}, "rest": {...}}: lists of
named items become mappings in the same order; "rest" has all other keys unchanged.  The list of
tenants is optional; a document without it has no such part.  A change is logged as a
difference (`document_changes`).  The adapter's `Reader` turns items into facts; this module
validates changes: a change must name the current edition and have a higher one.
"""

import json
from dataclasses import dataclass
from typing import Callable

from transport.failures import FieldWrong, LayoutWrong, StampStale

from configuration import checked_document, document_changes, document_facts

__all__ = [
    "Reader",
    "EMPTY",
    "evaluate_change",
    "operator_form",
    "items_by_name",
    "to_section",
    "Unreadable",
]

EMPTY = {"edition": 0, "parts": {}, "rest": {}}


@dataclass(frozen=True)
class Reader:
    """The platform's form: the keys of the parts that are lists, and functions that read items.

    `upsert` and `remove` are the keys of a partial change.  `route(item)`, `service(item)` and
    `tenant(item)` return facts as described in `document_facts`; for an invalid item they raise
    KeyError, TypeError, ValueError or ArithmeticError.
    """

    edition: str
    routes: str
    services: str
    tenants: str
    upsert: str
    remove: str
    route: Callable
    service: Callable
    tenant: Callable

    def parts(self):
        """(key, function that reads an item) of each part that is a list."""
        return (
            (self.routes, self.route),
            (self.services, self.service),
            (self.tenants, self.tenant),
        )


class Unreadable(Exception):
    """A part of the document is invalid; `fault` is its FieldWrong."""

    def __init__(self, field, cause):
        super().__init__(field)
        self.fault = FieldWrong(field, cause)


def items_by_name(part, items):
    """A list of named items as {name: item}; raises Unreadable."""
    if not isinstance(items, list):
        raise Unreadable(part, "not a list")
    found = {}
    for number, item in enumerate(items):
        name = item.get("name") if isinstance(item, dict) else None
        if not isinstance(name, str) or not name:
            raise Unreadable(f"{part}.{number}.name", "missing")
        if name in found:
            raise Unreadable(f"{part}.{number}.name", f"twice: {name}")
        found[name] = item
    return found


def _from_complete(reader, body):
    """The document of a complete configuration."""
    for part in (reader.routes, reader.services):
        if part not in body:
            raise Unreadable(part, "missing")
    parts = {part: items_by_name(part, body[part]) for part, _ in reader.parts() if part in body}
    rest = {k: v for k, v in body.items() if k not in parts and k != reader.edition}
    return {"edition": body[reader.edition], "parts": parts, "rest": rest}


def _apply_partial(reader, document, body):
    """The document that results from a partial change: items are replaced, added, removed."""
    parts = {part: dict(items) for part, items in document["parts"].items()}
    upsert, remove = body.get(reader.upsert, {}), body.get(reader.remove, {})
    if not isinstance(upsert, dict) or not isinstance(remove, dict):
        raise Unreadable(reader.upsert, "not an object")
    for part, names in remove.items():
        if not _is_listed(reader, parts, part) or not isinstance(names, list):
            raise Unreadable(f"{reader.remove}.{part}", "no such list")
        for name in names:
            if not isinstance(name, str):
                raise Unreadable(f"{reader.remove}.{part}", "not a name")
            parts.get(part, {}).pop(name, None)
    for part, items in upsert.items():
        if not _is_listed(reader, parts, part):
            raise Unreadable(f"{reader.upsert}.{part}", "no such list")
        parts.setdefault(part, {}).update(items_by_name(part, items))
    rest = {k: v for k, v in document["rest"].items() if k not in parts}
    return {"edition": body[reader.edition], "parts": parts, "rest": rest}


def _is_listed(reader, parts, part):
    """Whether a partial change may name a part: one of the document's parts, or the tenants."""
    return part in parts or part == reader.tenants


def _facts(reader, document):
    """(routes, services, tenants) by name, as facts."""
    try:
        return [
            checked_document.read_items(part, document["parts"].get(part, {}), read_item)
            for part, read_item in reader.parts()
        ]
    except checked_document.Unreadable as unreadable:
        at = f"{unreadable.part}.{unreadable.name}"
        raise Unreadable(at, unreadable.cause) from unreadable


def to_section(checked):
    """The section that corresponds to a valid document."""
    return document_facts.section(checked.routes, checked.services, checked.tenants)


def evaluate_change(reader, document, body, checked=None):
    """Return (difference, None) or (None, failure) for a change to `document`.

    `body` is {"expect": the edition that the change is based on, "written": the configuration
    or the partial change, "partial"}.  `checked` is the CheckedDocument of `document`, if known.
    """
    written, expect = body.get("written"), body.get("expect")
    if not isinstance(written, dict):
        return None, LayoutWrong((FieldWrong("(whole)", "not an object"),))
    edition = written.get(reader.edition)
    if not isinstance(edition, int) or isinstance(edition, bool) or edition < 1:
        return None, LayoutWrong((FieldWrong(reader.edition, "not a whole number from 1"),))
    if expect != document["edition"]:
        return None, StampStale(expect if isinstance(expect, int) else -1, document["edition"])
    if edition <= document["edition"]:
        return None, LayoutWrong((FieldWrong(reader.edition, "not above the current one"),))
    try:
        changed = (
            _apply_partial(reader, document, written)
            if body.get("partial")
            else _from_complete(reader, written)
        )
        touched = _touched(reader, document, written, changed, body.get("partial"))
        document_changes.reuse_unchanged(document, changed, touched)
        known = checked is not None
        if not known or not checked_document.is_surely_valid(reader, checked, changed, touched):
            faults = document_facts.check(*_facts(reader, changed))
            if faults:
                return None, LayoutWrong(tuple(faults[:100]))
    except Unreadable as unreadable:
        return None, LayoutWrong((unreadable.fault,))
    return document_changes.difference(document, changed), None


def _touched(reader, old, written, new, partial):
    """{part: names of the items that may differ between `old` and `new`}."""
    found = {}
    for part, _ in reader.parts():
        if partial:
            upsert = written.get(reader.upsert, {}).get(part, ())
            found[part] = {item["name"] for item in upsert}
            found[part].update(written.get(reader.remove, {}).get(part, ()))
        else:
            found[part] = set(new["parts"].get(part, ())) | set(old["parts"].get(part, ()))
    return found


def operator_form(reader, document):
    """The whole document in the platform's form, as JSON."""
    return "".join(_json_pieces(reader, document))


def _json_pieces(reader, document):
    """The text of the platform's form, item by item: encoded as a whole, a large document takes
    several times its size for a while."""
    yield f"{{{json.dumps(reader.edition)}: {json.dumps(document['edition'])}"
    for part, items in document["parts"].items():
        yield f", {json.dumps(part)}: ["
        for number, item in enumerate(items.values()):
            yield (", " if number else "") + json.dumps(item)
        yield "]"
    for name, value in document["rest"].items():
        yield f", {json.dumps(name)}: {json.dumps(value)}"
    yield "}"
