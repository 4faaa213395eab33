"""A layout as its operators wrote it, kept so that it can be read back as sent.

`document` is {"edition", "parts": {"routes": {name: item}, ...}, "rest": {...}}:
lists of named items become mappings in the order they were written, the rest
stays.  The list of tenants is optional: a document that doesn't name it has no such
part.  A change is logged as what it changes only (`document_changes`).  Reading (items
to facts) is the adapter's `Reader`; judging is done here: editions rise, a change builds
on the present one, the same change again gets the same answer.
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
    """What the adapter knows of the form: names of the listed parts, and item readers.

    `route(item)`, `service(item)` and `tenant(item)` return facts as in `passages`,
    raising KeyError, TypeError, ValueError or an ArithmeticError on what can't be read."""

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
        """(name, item reader) of each listed part."""
        return (
            (self.routes, self.route),
            (self.services, self.service),
            (self.tenants, self.tenant),
        )


class Unreadable(Exception):
    """A part that can't be read; `wrong` says where and why."""

    def __init__(self, field, cause):
        super().__init__(field)
        self.wrong = FieldWrong(field, cause)


def items_by_name(part, items):
    """A list of named items as {name: item}."""
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


def _whole(reader, body):
    """A document of a whole layout."""
    for part in (reader.routes, reader.services):
        if part not in body:
            raise Unreadable(part, "missing")
    parts = {part: items_by_name(part, body[part]) for part, _ in reader.parts() if part in body}
    rest = {k: v for k, v in body.items() if k not in parts and k != reader.edition}
    return {"edition": body[reader.edition], "parts": parts, "rest": rest}


def _patched(reader, document, body):
    """A document with named items replaced, added and removed."""
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
    """Whether a partial change may name a part: one that is there, or the tenants."""
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
    """The section that a good document spells."""
    return document_facts.section(checked.routes, checked.services, checked.tenants)


def evaluate_change(reader, document, body, checked=None):
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
        document_changes.reuse_unchanged(document, made, touched)
        known = checked is not None
        if not known or not checked_document.is_surely_valid(reader, checked, made, touched):
            wrong = document_facts.check(*_facts(reader, made))
            if wrong:
                return None, LayoutWrong(tuple(wrong[:100]))
    except Unreadable as unreadable:
        return None, LayoutWrong((unreadable.wrong,))
    return document_changes.difference(document, made), None


def _touched(reader, old, told, new, partial):
    """{part: names of the items in which `new` may differ from `old`}."""
    found = {}
    for part, _ in reader.parts():
        if partial:
            upsert = told.get(reader.upsert, {}).get(part, ())
            found[part] = {item["name"] for item in upsert}
            found[part].update(told.get(reader.remove, {}).get(part, ()))
        else:
            found[part] = set(new["parts"].get(part, ())) | set(old["parts"].get(part, ()))
    return found


def operator_form(reader, document):
    """The whole document in its operators' form."""
    return json.dumps(
        {
            reader.edition: document["edition"],
            **{part: list(items.values()) for part, items in document["parts"].items()},
            **document["rest"],
        }
    )
